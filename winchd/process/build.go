package process

import "fmt"

// Step builds one component of a process.
type Step struct {
	Name  string
	Build func() error
}

// Build runs the steps in their order, until one fails. A step may use the components of earlier ones.
func Build(steps []Step) error {
	for _, step := range steps {
		if err := step.Build(); err != nil {
			return fmt.Errorf("build %s: %w", step.Name, err)
		}
	}
	return nil
}
