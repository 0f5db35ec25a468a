package era

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch"
)

// send answers a call that is sent now.
func send(t *testing.T, s *state, answer Answer) (Reading, change) {
	t.Helper()
	return answerTo(t, s, s.begin(), answer)
}

func answerTo(t *testing.T, s *state, call Call, answer Answer) (Reading, change) {
	t.Helper()
	reading, step, err := s.answered(call, answer)
	assert.NilError(t, err)
	return reading, step
}

func named(era winch.Era, revision winch.StoreRevision) Answer {
	return Answer{Era: era, HasEra: true, Revision: revision}
}

func unnamed(revision winch.StoreRevision) Answer { return Answer{Revision: revision} }

func assertNewest(t *testing.T, s *state, era winch.Era, revision winch.StoreRevision) {
	t.Helper()
	assert.Equal(t, s.newest, position{era: era, revision: revision})
}

func TestNamedEra(t *testing.T) {
	t.Run("rises", func(t *testing.T) {
		s := &state{}
		send(t, s, named(1, 100))
		reading, step := send(t, s, named(2, 90))
		assert.Equal(t, reading, Reading{Era: 2})
		assert.Equal(t, step, change{from: position{1, 100}, to: position{2, 90}, source: sourceAnswer})
	})
	t.Run("is reported once", func(t *testing.T) {
		s := &state{}
		send(t, s, named(1, 100))
		_, step := send(t, s, named(1, 101))
		assert.Assert(t, !step.happened())
		assertNewest(t, s, 1, 101)
	})
	t.Run("of an answer that was delayed is late", func(t *testing.T) {
		s := &state{}
		send(t, s, named(2, 90))
		reading, step := send(t, s, named(1, 100))
		assert.Equal(t, reading, Reading{Era: 1, Late: true})
		assert.Assert(t, !step.happened())
		assertNewest(t, s, 2, 90)
	})
	t.Run("of a failed call counts", func(t *testing.T) {
		s := &state{}
		send(t, s, named(1, 100))
		send(t, s, named(2, 0))
		assertNewest(t, s, 2, 0)
	})
	t.Run("is bounded", func(t *testing.T) {
		for _, era := range []winch.Era{-1, winch.MaxEra + 1} {
			s := &state{}
			_, _, err := s.answered(s.begin(), named(era, 100))
			assert.ErrorIs(t, err, winch.ErrInvalid)
			assertNewest(t, s, 0, 0)
		}
		send(t, &state{}, named(winch.MaxEra, 100))
	})
	t.Run("with a revision out of range is an error", func(t *testing.T) {
		for _, revision := range []winch.StoreRevision{-1, winch.MaxStoreRevision + 1} {
			s := &state{}
			_, _, err := s.answered(s.begin(), named(1, revision))
			assert.ErrorIs(t, err, winch.ErrInvalid)
			assertNewest(t, s, 0, 0)
		}
	})
	t.Run("ends the inference from revisions", func(t *testing.T) {
		s := &state{}
		send(t, s, named(1, 100))
		reading, step := send(t, s, unnamed(90))
		assert.Equal(t, reading, Reading{Era: 1})
		assert.Assert(t, !step.happened())
		assertNewest(t, s, 1, 100)
	})
}

func TestInferredEra(t *testing.T) {
	t.Run("begins when the revision falls", func(t *testing.T) {
		s := &state{}
		send(t, s, unnamed(100))
		reading, step := send(t, s, unnamed(90))
		assert.Equal(t, reading, Reading{Era: 1})
		assert.Equal(t, step, change{from: position{0, 100}, to: position{1, 90}, source: sourceInferred})
		send(t, s, unnamed(91))
		assertNewest(t, s, 1, 91)
	})
	t.Run("begins again when it falls again", func(t *testing.T) {
		s := &state{}
		for _, revision := range []winch.StoreRevision{100, 90, 95, 94} {
			send(t, s, unnamed(revision))
		}
		assertNewest(t, s, 2, 94)
	})
	t.Run("does not begin while the revision rises or is not told", func(t *testing.T) {
		s := &state{}
		for _, revision := range []winch.StoreRevision{100, 100, 0, 101} {
			_, step := send(t, s, unnamed(revision))
			assert.Assert(t, !step.happened())
		}
		assertNewest(t, s, 0, 101)
	})
	t.Run("does not follow from calls in flight at the same time", func(t *testing.T) {
		s := &state{}
		slow, fast := s.begin(), s.begin()
		answerTo(t, s, fast, unnamed(100))
		reading, step := answerTo(t, s, slow, unnamed(99))
		assert.Equal(t, reading, Reading{})
		assert.Assert(t, !step.happened())
		assertNewest(t, s, 0, 100)
	})
	t.Run("makes answers late that may be from before", func(t *testing.T) {
		s := &state{}
		send(t, s, unnamed(100))
		slow := s.begin()
		send(t, s, unnamed(90))
		reading, _ := answerTo(t, s, slow, unnamed(101))
		assert.Equal(t, reading, Reading{Late: true})
		assertNewest(t, s, 1, 90)
	})
}

func TestEraOfAnotherHost(t *testing.T) {
	t.Run("is not inferred a second time", func(t *testing.T) {
		s := &state{}
		send(t, s, unnamed(100))
		assert.Equal(t, s.learned(position{1, 90}), change{from: position{0, 100}, to: position{1, 90}, source: sourceHost})
		_, step := send(t, s, unnamed(91))
		assert.Assert(t, !step.happened())
		assertNewest(t, s, 1, 91)
	})
	t.Run("is ignored if it is not newer", func(t *testing.T) {
		s := &state{}
		send(t, s, named(2, 100))
		for _, told := range []position{{0, 200}, {1, 200}, {2, 100}, {2, 99}} {
			assert.Assert(t, !s.learned(told).happened())
		}
		assertNewest(t, s, 2, 100)
	})
	t.Run("makes answers late that do not name theirs", func(t *testing.T) {
		s := &state{}
		call := s.begin()
		s.learned(position{1, 90})
		reading, _ := answerTo(t, s, call, unnamed(100))
		assert.Assert(t, reading.Late)
	})
}

func TestRevisionOfAnotherHost(t *testing.T) {
	t.Run("shows a host that begins anew that the service has come back", func(t *testing.T) {
		s := &state{}
		s.learned(position{0, 100})
		reading, _ := send(t, s, unnamed(90))
		assert.Equal(t, reading, Reading{Era: 1})
	})
	t.Run("shows nothing to calls that were in flight when it was told", func(t *testing.T) {
		s := &state{}
		call := s.begin()
		s.learned(position{0, 100})
		reading, step := answerTo(t, s, call, unnamed(90))
		assert.Equal(t, reading, Reading{})
		assert.Assert(t, !step.happened())
	})
}
