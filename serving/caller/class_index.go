package caller

import (
	"sort"
	"sync/atomic"

	"github.com/arbutuswinch/winch"
)

// classIndex finds the request classes of a configuration by model.
type classIndex struct {
	configuration *winch.Configuration
	// classes lists the classes of each model, in descending order of the tier number, so the
	// least important first.
	classes map[winch.ModelID][]winch.Class
}

func newClassIndex(configuration *winch.Configuration) *classIndex {
	c := &classIndex{configuration: configuration, classes: map[winch.ModelID][]winch.Class{}}
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

// class returns the requested class, or, if requested is empty, the least important class of
// the model that the caller may use. A caller without an API key may use open classes only.
func (c *classIndex) class(model winch.ModelID, requested winch.ClassID, authenticated bool) (winch.Class, *apiError) {
	classes, found := c.classes[model]
	if !found {
		return winch.Class{}, &apiError{status: 404, code: "model_not_found", param: "model", message: "no class serves this model"}
	}
	for _, class := range classes {
		if class.ID == requested || requested == "" && (authenticated || class.Open) {
			if !authenticated && !class.Open {
				return winch.Class{}, unauthorized(winch.ErrUnauthorized)
			}
			return class, nil
		}
	}
	if requested == "" {
		return winch.Class{}, unauthorized(winch.ErrUnauthorized)
	}
	return winch.Class{}, invalidRequest("X-Request-Class", "the class does not exist or does not serve this model")
}

// models returns the models that the caller may use, sorted.
func (c *classIndex) models(authenticated bool) []winch.ModelID {
	models := []winch.ModelID{}
	for model, classes := range c.classes {
		for _, class := range classes {
			if authenticated || class.Open {
				models = append(models, model)
				break
			}
		}
	}
	sort.Slice(models, func(i, j int) bool { return models[i] < models[j] })
	return models
}

// classIndexCache caches the index of the current configuration.
type classIndexCache struct {
	configurations winch.Configurations
	current        atomic.Pointer[classIndex]
}

func (c *classIndexCache) get() *classIndex {
	configuration := c.configurations.Current()
	if cached := c.current.Load(); cached != nil && cached.configuration == configuration {
		return cached
	}
	built := newClassIndex(configuration)
	c.current.Store(built)
	return built
}
