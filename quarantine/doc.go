// Package quarantine decides which parts of prompts crash endpoints ("queries of death") and for how long requests with them are
// held back. It does no I/O; package quarantine/peer shares the evidence between hosts.
//
// The evidence are crashes of endpoints and the requests that were waiting for their first output there. Each of them
// makes suspects of all its shared parts. Output clears: a part with which an endpoint has begun to answer after a crash did not cause it.
// So the parts that sound requests share with the others clear themselves. A part is put in quarantine when
// it was present in several crashes, one of which hit a request that was sent after an earlier crash, with no output between them:
// a single event that takes many endpoints down at once makes no part suspect. Of the parts that explain the same crashes
// the one with most crashes is chosen, and of these the one that comes last in the prompts, since fewest requests share it.
//
// A crash is refuted if its endpoint turns out to be the same run as before: only the connections to it were lost. A part is released
// once too few crashes are left to hold it.
//
// A quarantine also ends when output is seen with the part. For that one request at a time is admitted as a trial after each
// term; a trial that crashes its endpoint doubles the term.
//
// # Usage
//
//	evidence := quarantine.New(quarantine.Settings{})
//	changes := evidence.AddCrash(now, crash)
//	verdict := evidence.Admit(now, request, parts, true)
package quarantine
