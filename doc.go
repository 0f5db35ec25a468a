// Package winch holds the domain types and the interfaces of arbutuswinch, a
// router for language-model traffic with service levels and priorities.
//
// The implementations are in subdirectories: one directory for each subsystem and
// in it one package for each peer or protocol. For example, serving/caller handles
// callers, and release/keyvalue uses the platform's key-value service. No subsystem
// imports the internals of another; they depend on the interfaces declared here.
//
// # Usage
//
// To embed a component, construct it with the interfaces it depends on:
//
//	import (
//		lease "github.com/arbutuswinch/winch/lease/keyvalue"
//		"github.com/arbutuswinch/winch/keyvalue/platform"
//	)
//
//	store, err := platform.New(platform.Options{Address: "127.0.0.1:7000"})
//	if err != nil {
//		return err
//	}
//	// table is a winch.Membership and clock a winch.Clock.
//	holder, err := lease.New(lease.Options{
//		Store: store, Duty: "orders/centre-a", DataCentre: "centre-a", Membership: table, Clock: clock,
//	})
//	if err != nil {
//		return err
//	}
//	go holder.Run(ctx)
//	term, held := holder.Term(clock.Now())
//
// Functions that make decisions take the current time as an argument and do no I/O.
// Durations are time.Duration and timestamps are time.Time throughout.
package winch
