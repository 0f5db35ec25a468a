// Package operator provides the HTTP API with which operators manage release notes
// and keys.
//
//	POST   /operator/notes/check   validates a note against the current configuration
//	POST   /operator/notes         commits a note
//	GET    /operator/notes/{id}    returns the status of a committed note
//	GET    /operator/notes         returns the status of the current revision
//	GET    /operator/keys          lists the keys, without their hashes
//	POST   /operator/keys          adds a key
//	DELETE /operator/keys/{id}     withdraws a key; the query parameter "note" is the id of the note
//
// The status of a note contains whether it is accepted, and for each data centre whether
// it is in force there and until when hosts there may still accept keys by an older
// revision. A note is in force in a data centre once a majority of its hosts hold it. It
// is accepted once no host anywhere can still accept keys by an older revision; package
// peer has the rule.
//
// # Usage
//
//	handler, err := operator.New(operator.Options{Log: store, Tracker: distributor, Clock: clock, Logger: logger})
//	if err != nil {
//		return err
//	}
//	mux.Handle("/operator/notes", httpjson.RequireSecret(secret, handler.Handler()))
//	mux.Handle("/operator/notes/", httpjson.RequireSecret(secret, handler.Handler()))
//	mux.Handle("/operator/keys", httpjson.RequireSecret(secret, handler.Handler()))
//	mux.Handle("/operator/keys/", httpjson.RequireSecret(secret, handler.Handler()))
//
// The handler does not check the operators' secret itself.
package operator
