package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
)

// grant is what a configuration allows a request.
type admission struct {
	configuration *winch.Configuration
	forward       *winch.Forward
	class         winch.Class
	model         winch.ModelID
	organisation  winch.OrganisationID
	// keyed says that the grant rests on a key.
	byKey bool
}

// evidence is how old the proof is that the configuration is the newest.
type freshness struct {
	age    time.Duration
	limits freshnessLimits
}

// proofLimits are the ages up to which evidence counts.
type freshnessLimits struct {
	reject time.Duration
	key    time.Duration
}

// rejects tells whether the configuration is known well enough to say that something does not exist.
func (f freshness) confirmsAbsence() bool { return f.age <= f.limits.reject }

// trustsKeys tells whether keys may admit requests.
func (f freshness) confirmsKeys() bool { return f.age <= f.limits.key }

// authorizer finds a key in the configuration.
type authorizer func(hash winch.KeyHash) (winch.Key, error)

// admit decides by the configuration whether the request may run. It does no I/O.
func admit(configuration *winch.Configuration, request *winch.ForwardRequest, fresh freshness, authorize authorizer) (admission, *fault) {
	if len(configuration.Forwards) == 0 {
		return admission{}, notReady("no configuration yet")
	}
	forward := matchRoute(configuration.Forwards, request.Host, request.Path)
	if forward == nil {
		if !fresh.confirmsAbsence() {
			return admission{}, notReady("no route, and the configuration may be out of date")
		}
		return admission{}, &fault{status: http.StatusNotFound, reason: "no_route", message: "no route matches"}
	}
	a := admission{configuration: configuration, forward: forward, model: chooseTarget(forward, request.ID)}
	if f := a.authenticate(request, fresh, authorize); f != nil {
		return admission{}, f
	}
	grade, found := configuration.Grades[a.organisation]
	if !found {
		grade = winch.NoGrade
	}
	a.class = configuration.Classes[forward.Classes[grade]]
	return a, nil
}

// identify finds the organisation. A route that is open to all needs no key, and takes
// none amiss.
func (a *admission) authenticate(request *winch.ForwardRequest, fresh freshness, authorize authorizer) *fault {
	needed := !a.forward.Open && len(a.configuration.Organisations) > 0
	if request.Secret == "" {
		if needed {
			return a.reject(fresh)
		}
		return nil
	}
	if !needed && !fresh.confirmsKeys() {
		return nil
	}
	key, err := authorize(winch.HashKey(request.Secret))
	switch {
	case err == nil && (!needed || fresh.confirmsKeys()):
		a.organisation, a.byKey = key.Organisation, needed
		return nil
	case !needed:
		return nil
	case errors.Is(err, winch.ErrUnauthorized):
		return a.reject(fresh)
	}
	return notReady("keys cannot be confirmed at present")
}

func (a *admission) reject(fresh freshness) *fault {
	if !fresh.confirmsAbsence() {
		return notReady("the key is unknown, and the configuration may be out of date")
	}
	return &fault{status: http.StatusUnauthorized, reason: "unknown_key", message: "a valid key is required"}
}

// match returns the route with the longest prefix of the path among those of the host.
func matchRoute(forwards []winch.Forward, host, path string) *winch.Forward {
	var best *winch.Forward
	for i := range forwards {
		forward := &forwards[i]
		if forward.Host == host && strings.HasPrefix(path, forward.Prefix) && (best == nil || len(forward.Prefix) > len(best.Prefix)) {
			best = forward
		}
	}
	return best
}

// target picks the request's service by the weights, the same one each time for one request.
func chooseTarget(forward *winch.Forward, id winch.RequestID) winch.ModelID {
	if len(forward.Targets) == 1 {
		return forward.Targets[0].Model
	}
	total := 0
	for _, target := range forward.Targets {
		total += target.Weight
	}
	offset := int(hashRequestID(id) % uint64(max(1, total)))
	for _, target := range forward.Targets {
		if offset < target.Weight {
			return target.Model
		}
		offset -= target.Weight
	}
	return forward.Targets[0].Model
}

// checkHeader refuses a request whose header is larger than the limit; zero stands for none.
func checkHeaderSize(r *http.Request, limit int) *fault {
	size := 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if limit <= 0 || size <= limit {
		return nil
	}
	return &fault{
		status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large",
		message: fmt.Sprintf("the header has %d bytes, of which %d are allowed", size, limit),
	}
}

// readBody reads the whole body within the limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *fault) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, bodyReadFailure(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, bodyTooLarge(limit)
	case err != nil:
		return nil, bodyReadFailure(err)
	}
	return body, nil
}

func bodyTooLarge(limit int64) *fault {
	return &fault{
		status: http.StatusRequestEntityTooLarge, reason: "body_too_large",
		message: fmt.Sprintf("the body is larger than %d bytes", limit),
	}
}

func bodyReadFailure(err error) *fault {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return callerLeft()
	}
	return &fault{status: http.StatusBadRequest, reason: "body_unread", message: "the body could not be read", cause: err}
}
