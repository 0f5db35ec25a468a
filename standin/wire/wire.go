// Package wire holds the encoding that the stand-ins share: durations as text, JSON bodies and
// error responses.
//
// # Usage
//
//	request := getRequest{}
//	if !wire.Decode(w, r, wire.SmallBody, &request) {
//		return
//	}
//	wire.Write(w, http.StatusOK, getResponse{Found: true})
//
// When Decode returns false, it has already written an error response.
package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Limits of request bodies, in bytes.
const (
	SmallBody = 64 << 10
	LargeBody = 4 << 20
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Error is the body of an error response of the platform.
type Error struct {
	Code    string
	Message string
}

// Decode decodes the JSON body of the request into out. It responds with status 400 and
// returns false when the body is too large, is not valid JSON or has unknown fields.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return false
	}
	return true
}

// Write writes a response with the status and the value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError writes an error response with the status, code and message.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	Write(w, status, Error{Code: code, Message: message})
}

// WriteRetry writes an error response with a Retry-After header, rounded up to whole seconds.
func WriteRetry(w http.ResponseWriter, status int, code string, after time.Duration) {
	seconds := int((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	WriteError(w, status, code, "try again later")
}
