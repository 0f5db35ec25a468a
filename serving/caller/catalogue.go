package caller

import (
	"sort"
	"sync/atomic"

	"github.com/arbutuswinch/winch"
)

// catalogue indexes a configuration by what requests ask for.
type catalogue struct {
	configuration *winch.Configuration
	// classes lists the classes of each model, least urgent first.
	classes map[winch.ModelID][]winch.Class
}

func newCatalogue(configuration *winch.Configuration) *catalogue {
	c := &catalogue{configuration: configuration, classes: map[winch.ModelID][]winch.Class{}}
	for _, class := range configuration.Classes {
		for _, model := range class.Models {
			c.classes[model] = append(c.classes[model], class)
		}
	}
	for _, classes := range c.classes {
		sort.Slice(classes, func(i, j int) bool {
			if classes[i].Tier != classes[j].Tier {
				return classes[i].Tier > classes[j].Tier
			}
			return classes[i].ID < classes[j].ID
		})
	}
	return c
}

// class picks the class that was named, or else the least urgent one of the model
// that the caller may use.
func (c *catalogue) class(model winch.ModelID, named winch.ClassID, keyed bool) (winch.Class, *fault) {
	classes, found := c.classes[model]
	if !found {
		return winch.Class{}, &fault{status: 404, code: "model_not_found", param: "model", message: "no class serves this model"}
	}
	for _, class := range classes {
		if class.ID == named || named == "" && (keyed || class.Open) {
			if !keyed && !class.Open {
				return winch.Class{}, unauthorized(winch.ErrUnauthorized)
			}
			return class, nil
		}
	}
	if named == "" {
		return winch.Class{}, unauthorized(winch.ErrUnauthorized)
	}
	return winch.Class{}, invalid("X-Request-Class", "the class does not exist or does not serve this model")
}

// models lists the models that the caller may use, sorted.
func (c *catalogue) models(keyed bool) []winch.ModelID {
	models := []winch.ModelID{}
	for model, classes := range c.classes {
		for _, class := range classes {
			if keyed || class.Open {
				models = append(models, model)
				break
			}
		}
	}
	sort.Slice(models, func(i, j int) bool { return models[i] < models[j] })
	return models
}

// catalogues keeps the index of the newest configuration.
type catalogues struct {
	source  winch.Configurations
	current atomic.Pointer[catalogue]
}

func (c *catalogues) get() *catalogue {
	configuration := c.source.Current()
	if known := c.current.Load(); known != nil && known.configuration == configuration {
		return known
	}
	built := newCatalogue(configuration)
	c.current.Store(built)
	return built
}
