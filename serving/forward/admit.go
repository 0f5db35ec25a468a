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

// admission is the route, class, model and organisation that a configuration gives to a request.
type admission struct {
	configuration *winch.Configuration
	forward       *winch.Forward
	class         winch.Class
	model         winch.ModelID
	organisation  winch.OrganisationID
	// byKey reports whether the request was admitted because of its key.
	byKey bool
}

// freshness tells for which decisions the configuration is recent enough.
type freshness struct {
	// age is the time since the configuration was last confirmed to be the latest one.
	age    time.Duration
	limits freshnessLimits
}

// freshnessLimits are the ages up to which a configuration may be used to reject requests
// and to accept keys.
type freshnessLimits struct {
	reject time.Duration
	key    time.Duration
}

// confirmsAbsence reports whether what the configuration does not contain may be taken as
// not existing.
func (f freshness) confirmsAbsence() bool { return f.age <= f.limits.reject }

// confirmsKeys reports whether the keys of the configuration may be accepted.
func (f freshness) confirmsKeys() bool { return f.age <= f.limits.key }

// authorizer looks up a key by its hash.
type authorizer func(hash winch.KeyHash) (winch.Key, error)

// admit decides whether the configuration allows the request. It does no I/O.
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

// authenticate sets the organisation that the key belongs to. A request needs no key if its
// route is open or if the configuration has no organisations; an invalid key is then ignored.
func (a *admission) authenticate(request *winch.ForwardRequest, fresh freshness, authorize authorizer) *fault {
	keyRequired := !a.forward.Open && len(a.configuration.Organisations) > 0
	if request.Secret == "" {
		if keyRequired {
			return a.reject(fresh)
		}
		return nil
	}
	if !keyRequired && !fresh.confirmsKeys() {
		return nil
	}
	key, err := authorize(winch.HashKey(request.Secret))
	switch {
	case err == nil && (!keyRequired || fresh.confirmsKeys()):
		a.organisation, a.byKey = key.Organisation, keyRequired
		return nil
	case !keyRequired:
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

// matchRoute returns the host's route with the longest prefix that matches the path, or nil.
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

// chooseTarget picks a model by weight. The choice is a hash of the request id, so a
// request gets the same one each time.
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

// checkHeaderSize rejects a request whose header names and values exceed the limit in total.
// A limit of zero means no limit.
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

// readBody reads the whole body and rejects one that is larger than the limit.
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

// bodyReadFailure returns the fault for a body that could not be read. A body that ends early
// means that the caller has disconnected; all other errors, such as malformed chunks, are
// reported as a bad request.
func bodyReadFailure(err error) *fault {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return callerLeft()
	}
	return &fault{status: http.StatusBadRequest, reason: "body_unread", message: "the body could not be read", cause: err}
}
