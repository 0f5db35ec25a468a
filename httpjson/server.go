package httpjson

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/internal/memory"
)

type errorResponse struct {
	Code    string
	Message string
}

// Decode decodes the request body into out. Unknown fields and bodies of more than
// limit bytes are errors that match ErrInvalid. If there is no memory for the body (see
// ChargeBodies), the error matches ErrUnavailable.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	if charged, found := r.Body.(*chargedBody); found {
		charged.doubles = true
	}
	body, err := LimitBody(w, r, limit)
	if err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return fmt.Errorf("decode body: %w", BodyError(err))
	}
	return nil
}

// Write writes a response with the status and with value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError writes an error response with the status and code for err.
func WriteError(w http.ResponseWriter, err error) {
	status, code := statusAndCode(err)
	if errors.Is(err, memory.ErrNoMemory) {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", strconv.Itoa(int(noMemoryRetryAfter.Seconds())))
	}
	Write(w, status, errorResponse{Code: code, Message: err.Error()})
}

// statusAndCode returns the status and code for err. A client does not get every error back as it
// was: ErrNotLeaseHolder and ErrIsolated become ErrUnavailable there, and errors that have no status of
// their own, such as ErrRefused, become ErrOutcomeUnknown.
func statusAndCode(err error) (int, string) {
	switch {
	case errors.Is(err, winch.ErrInvalid):
		return http.StatusBadRequest, "invalid"
	case errors.Is(err, winch.ErrUnauthorized):
		return http.StatusUnauthorized, "unauthorized"
	case errors.Is(err, winch.ErrNotFound):
		return http.StatusNotFound, "not_found"
	case errors.Is(err, winch.ErrConflict):
		return http.StatusConflict, "conflict"
	case errors.Is(err, winch.ErrFenced):
		return http.StatusPreconditionFailed, "fenced"
	case errors.Is(err, winch.ErrRateLimited):
		return http.StatusTooManyRequests, "rate_limited"
	case errors.Is(err, winch.ErrUnavailable), errors.Is(err, winch.ErrNotLeaseHolder), errors.Is(err, winch.ErrIsolated):
		return http.StatusServiceUnavailable, "unavailable"
	case errors.Is(err, winch.ErrOutcomeUnknown):
		return http.StatusBadGateway, "outcome_unknown"
	}
	return http.StatusInternalServerError, "internal"
}

// RequireSecret returns a handler that rejects requests whose bearer token is not the secret. The
// error does not tell whether the token was wrong or missing.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return RequireSecrets([]string{secret}, func() {}, next)
}

// RequireSecrets is RequireSecret for several secrets, each of which is accepted. It calls rejected for each request that it rejects.
func RequireSecrets(secrets []string, rejected func(), next http.Handler) http.Handler {
	wanted := make([][sha256.Size]byte, 0, len(secrets))
	for _, secret := range secrets {
		wanted = append(wanted, sha256.Sum256([]byte(secret)))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got, equal := sha256.Sum256([]byte(token)), 0
		for _, want := range wanted {
			equal |= subtle.ConstantTimeCompare(got[:], want[:])
		}
		if !found || equal != 1 {
			rejected()
			WriteError(w, fmt.Errorf("bearer token: %w", winch.ErrUnauthorized))
			return
		}
		next.ServeHTTP(w, r)
	})
}
