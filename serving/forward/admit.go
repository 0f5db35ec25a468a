package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

// admission is the route, class, model and organisation that a configuration gives to a request.
type admission struct {
	configuration *winch.Configuration
	route         *winch.Forward
	class         winch.Class
	model         winch.ModelID
	organisation  winch.OrganisationID
	// byKey reports whether the request was admitted because of its key: it would not have been without.
	byKey bool
}

// freshness tells for which decisions the configuration is recent enough.
type freshness struct {
	// age is the time since the configuration was last confirmed to be the latest one.
	age time.Duration
	// superseded reports whether a newer configuration is known to exist.
	superseded bool
	limits     freshnessLimits
}

// freshnessLimits are the ages up to which a configuration may be used to reject requests
// and to accept keys.
type freshnessLimits struct {
	reject time.Duration
	key    time.Duration
}

// mayReject reports whether the configuration is recent enough to reject a request because the
// configuration does not contain its route or key.
func (f freshness) mayReject() bool { return !f.superseded && f.age <= f.limits.reject }

// mayServe reports whether the configuration may be used at all. A newer one of which this host knows has to be in force after
// the time in which requests may be rejected.
func (f freshness) mayServe() bool { return !f.superseded || f.age <= f.limits.reject }

// mayAcceptKeys reports whether the configuration is recent enough to accept its keys.
func (f freshness) mayAcceptKeys() bool { return f.age <= f.limits.key }

// authorizer looks up a key by its hash.
type authorizer func(hash winch.KeyHash) (winch.Key, error)

// admit decides whether the configuration allows the request. It does no I/O.
func admit(configuration *winch.Configuration, request *winch.ForwardRequest, fresh freshness, authorize authorizer) (admission, *fault) {
	if len(configuration.Forwards) == 0 {
		return admission{}, notReady("no configuration yet")
	}
	if !fresh.mayServe() {
		return admission{}, notReady("a newer configuration exists and was not received yet")
	}
	route := matchRoute(configuration.Forwards, request.Host, request.Path)
	if route == nil {
		if !fresh.mayReject() {
			return admission{}, notReady("no route, and the configuration may be out of date")
		}
		return admission{}, &fault{status: http.StatusNotFound, reason: "no_route", message: "no route matches"}
	}
	a := admission{configuration: configuration, route: route, model: chooseTarget(route, request.StreamID())}
	if f := a.authenticate(request, fresh, authorize); f != nil {
		return admission{}, f
	}
	grade, found := configuration.Grades[a.organisation]
	if !found {
		grade = winch.NoGrade
	}
	a.class = configuration.Classes[route.Class(grade)]
	return a, nil
}

// authenticate sets the organisation that the key belongs to. A request needs no key if its route is open or if the configuration
// makes keys optional. One that has a key runs for the organisation of the key or not at all, whether it needs the key or not.
func (a *admission) authenticate(request *winch.ForwardRequest, fresh freshness, authorize authorizer) *fault {
	keyRequired := !a.route.Open && !a.configuration.KeysOptional
	if request.Secret == "" {
		if keyRequired {
			return a.reject(fresh)
		}
		return nil
	}
	key, err := authorize(winch.HashKey(request.Secret))
	switch {
	case errors.Is(err, winch.ErrUnauthorized):
		return a.reject(fresh)
	case err != nil || !fresh.mayAcceptKeys():
		return notReady("keys cannot be confirmed at present")
	}
	a.organisation, a.byKey = key.Organisation, keyRequired
	return nil
}

func (a *admission) reject(fresh freshness) *fault {
	if !fresh.mayReject() {
		return notReady("the key is unknown, and the configuration may be out of date")
	}
	return &fault{status: http.StatusUnauthorized, reason: "unknown_key", message: "a valid key is required"}
}

// matchRoute returns the host's route with the longest prefix that matches the path, or nil.
func matchRoute(routes []winch.Forward, host, path string) *winch.Forward {
	var best *winch.Forward
	for i := range routes {
		route := &routes[i]
		if route.Host == host && strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// chooseTarget picks a model by weight. The choice is a hash of the id, so a request gets the same
// one each time, and so does one that takes up a stream.
func chooseTarget(route *winch.Forward, id winch.RequestID) winch.ModelID {
	if len(route.Targets) == 1 {
		return route.Targets[0].Model
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	offset := int(hashRequestID(id) % uint64(max(1, total)))
	for _, target := range route.Targets {
		if offset < target.Weight {
			return target.Model
		}
		offset -= target.Weight
	}
	return route.Targets[0].Model
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

// readBodyUntil reads the body within the limits into memory of the claim. It gives up when ctx ends, at the end of a shutdown.
func (s *Server) readBodyUntil(ctx context.Context, w http.ResponseWriter, r *http.Request, claim *memory.Claim, limits bodyLimits) ([]byte, *fault) {
	reader := &bodyReader{
		ctx: ctx, request: r, controller: http.NewResponseController(w), budget: s.options.Memory, waiters: &s.bodyWaiters, claim: claim,
		limit: limits.size, deadline: time.Now().Add(limits.time),
	}
	defer context.AfterFunc(ctx, reader.stop)()
	body, f := reader.read()
	if f != nil && errors.Is(context.Cause(ctx), errStopping) {
		return nil, notRun(string(winch.RefusedStopping), stoppingRetryAfter)
	}
	return body, f
}

// bodyLimits are the maximum size of a body in bytes and the maximum time to read it.
type bodyLimits struct {
	size int64
	time time.Duration
}

func bodyTooLarge(limit int64) *fault {
	return &fault{
		status: http.StatusRequestEntityTooLarge, reason: "body_too_large",
		message: fmt.Sprintf("the body is larger than %d bytes", limit),
	}
}
