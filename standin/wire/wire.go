// Package wire holds what the stand-ins' formats share: durations as text, JSON
// answers and error answers.
//
// # Usage
//
//	call := getCall{}
//	if !wire.Decode(w, r, wire.SmallBody, &call) {
//		return
//	}
//	wire.Write(w, http.StatusOK, getAnswer{Found: true})
//
// Decode has answered with an error when it returns false.
package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// The limits of request bodies, in bytes.
const (
	SmallBody = 64 << 10
	LargeBody = 4 << 20
)

// Duration is a duration that is written as Go writes it, such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration's text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the duration's text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Error is an error answer of the platform.
type Error struct {
	Code    string
	Message string
}

// Decode reads the request's body into out. It answers 400 and returns false
// when the body is too large, is not JSON, or has unknown fields.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return false
	}
	return true
}

// Write answers with the status and value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers with the status, code and message.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	Write(w, status, Error{Code: code, Message: message})
}

// WriteRetry answers like WriteError and names the time to come back in, in whole seconds.
func WriteRetry(w http.ResponseWriter, status int, code string, after time.Duration) {
	seconds := int((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	WriteError(w, status, code, "try again later")
}
