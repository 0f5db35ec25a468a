package engine

import (
	"sort"
	"sync/atomic"
	"time"
)

// sequence is one request in the engine. The batch, under the engine's mutex, changes prefill and
// cached; the HTTP handler of the request reads id, prompt and, at the end, cached. produced, ended
// and wake are shared.
type sequence struct {
	id       string
	priority int
	arrival  int64
	prompt   prompt
	// prefill is the number of tokens still to be computed before the next output token.
	prefill int
	cached  int

	produced atomic.Int64
	ended    atomic.Bool
	wake     chan struct{}
}

func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// precedes reports whether s is scheduled ahead of other: by priority, of
// which the lowest number is the most urgent, and then by arrival.
func (s *sequence) precedes(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

// stepCosts determines how long a step takes.
type stepCosts struct {
	stepBase        time.Duration
	stepPerSequence time.Duration
	prefillPerToken time.Duration
	chunkTokens     int
}

// batch schedules the work of each step of the engine.
type batch struct {
	limit     int
	preempts  bool
	stepCosts stepCosts
	waiting   []*sequence
	running   []*sequence
}

// step is one iteration over the running sequences. chunks holds the number of prompt
// tokens computed for each prefilling sequence.
type step struct {
	decoding   []*sequence
	prefilling []*sequence
	chunks     []int
	duration   time.Duration
}

func (b *batch) enqueue(added *sequence) {
	index := sort.Search(len(b.waiting), func(i int) bool { return added.precedes(b.waiting[i]) })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[index+1:], b.waiting[index:])
	b.waiting[index] = added
}

// removeEnded removes the sequences that were completed or cancelled.
func (b *batch) removeEnded() {
	b.waiting = withoutEnded(b.waiting)
	b.running = withoutEnded(b.running)
}

func withoutEnded(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, s := range sequences {
		if !s.ended.Load() {
			kept = append(kept, s)
		}
	}
	clear(sequences[len(kept):])
	return kept
}

// admit moves waiting sequences into the batch, the most urgent first. It returns the
// admitted sequences and those that were preempted and put back into the queue.
func (b *batch) admit() (admitted, preempted []*sequence) {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if len(b.running) >= b.limit {
			victim := b.victim(next)
			if victim < 0 {
				break
			}
			preempted = append(preempted, b.running[victim])
			b.running = append(b.running[:victim], b.running[victim+1:]...)
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, next)
		admitted = append(admitted, next)
	}
	for _, victim := range preempted {
		b.enqueue(victim)
	}
	return admitted, preempted
}

// victim returns the index of the running sequence to preempt for next: the least urgent,
// and among equals the youngest. It returns -1 when none is less urgent than next.
func (b *batch) victim(next *sequence) int {
	if !b.preempts {
		return -1
	}
	chosen := -1
	for i, s := range b.running {
		if s.priority > next.priority && (chosen < 0 || b.running[chosen].precedes(s)) {
			chosen = i
		}
	}
	return chosen
}

// plan returns the next step. It returns false when nothing is running.
func (b *batch) plan() (step, bool) {
	if len(b.running) == 0 {
		return step{}, false
	}
	planned := step{}
	budget := b.stepCosts.chunkTokens
	for _, s := range b.running {
		if s.prefill == 0 {
			planned.decoding = append(planned.decoding, s)
			continue
		}
		if chunk := min(s.prefill, budget); chunk > 0 {
			budget -= chunk
			planned.prefilling = append(planned.prefilling, s)
			planned.chunks = append(planned.chunks, chunk)
		}
	}
	computed := time.Duration(b.stepCosts.chunkTokens - budget)
	planned.duration = b.stepCosts.stepBase +
		time.Duration(len(planned.decoding))*b.stepCosts.stepPerSequence +
		computed*b.stepCosts.prefillPerToken
	return planned, true
}

// finish applies a step and marks completed sequences as ended. It returns the sequences
// whose prefill finished, the number of output tokens and the number of completed sequences.
func (b *batch) finish(done step) (prefilled []*sequence, tokens, completed int) {
	for i, s := range done.prefilling {
		s.prefill -= done.chunks[i]
		if s.prefill == 0 {
			prefilled = append(prefilled, s)
			done.decoding = append(done.decoding, s)
		}
	}
	for _, s := range done.decoding {
		if s.ended.Load() {
			continue
		}
		tokens++
		if int(s.produced.Add(1)) >= s.prompt.outputTokens {
			s.ended.Store(true)
			completed++
		}
		s.signal()
	}
	return prefilled, tokens, completed
}
