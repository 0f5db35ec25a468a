package forward

import (
	"fmt"
	"testing"

	"github.com/arbutuswinch/winch"
)

// BenchmarkMatchRoute measures the choice of a request's route, which goes over all routes.
func BenchmarkMatchRoute(b *testing.B) {
	for _, count := range []int{10, 350, 5_000} {
		routes := []winch.Forward{}
		for i := range count {
			routes = append(routes, winch.Forward{Host: "a.example", Prefix: fmt.Sprintf("/route-%d/", i)})
		}
		path := fmt.Sprintf("/route-%d/x", count-1)
		b.Run(fmt.Sprintf("%d routes", count), func(b *testing.B) {
			for b.Loop() {
				if matchRoute(routes, "a.example", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
