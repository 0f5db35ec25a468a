package http1

import (
	"fmt"
	"net/http"
)

// SingleValue returns the value of a field that names one thing, such as the request that a response answers; "" without the field.
// It returns ErrMalformed if there are values that differ: a faulty server may have written two heads into one.
func SingleValue(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	for _, value := range values[1:] {
		if value != values[0] {
			return "", fmt.Errorf("%w: %s has the values %.64q and %.64q", ErrMalformed, http.CanonicalHeaderKey(name), values[0], value)
		}
	}
	return values[0], nil
}
