// Package operator answers the operators' calls about release notes and keys.
//
//	POST   /operator/notes/check   checks a note against the configuration in force
//	POST   /operator/notes         commits a note
//	GET    /operator/notes/{id}    tells what became of a note
//	GET    /operator/notes         tells the revision in force and where
//	GET    /operator/keys          lists the keys, without their hashes
//	POST   /operator/keys          adds a key
//	DELETE /operator/keys/{id}     withdraws a key; the query "note" names the note
//
// An answer about a committed note says whether it is accepted, and for each
// data centre whether it is in force there, or until when the data centre may go
// on by an older revision.
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
