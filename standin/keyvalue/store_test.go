package keyvalue

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/arbutuswinch/winch/standin/counts"
)

func assertPut(t *testing.T, s *Store, now time.Time, key string, expect Version, leaseID LeaseID) Version {
	t.Helper()
	entry, err := s.Put(now, key, []byte("v"), expect, leaseID)
	assert.NilError(t, err)
	return entry.Version
}

func TestStore(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("writes only the expected version", func(t *testing.T) {
		s := NewStore()
		version := assertPut(t, s, now, "a", ExpectAbsent, "")
		current, err := s.Put(now, "a", nil, ExpectAbsent, "")
		assert.Assert(t, errors.Is(err, ErrConflict))
		assert.Equal(t, current.Version, version)
		assert.Equal(t, assertPut(t, s, now, "a", version, ""), version+1)
	})
	t.Run("refuses large values", func(t *testing.T) {
		_, err := NewStore().Put(now, "a", bytes.Repeat([]byte{1}, ValueLimit+1), ExpectAny, "")
		assert.Assert(t, errors.Is(err, ErrTooLarge))
	})
	t.Run("an expired lease deletes its entries", func(t *testing.T) {
		s := NewStore()
		id := s.Grant(now, time.Second)
		assertPut(t, s, now, "a", ExpectAny, id)
		_, err := s.Renew(now.Add(900*time.Millisecond), id)
		assert.NilError(t, err)
		_, found := s.Get(now.Add(1800*time.Millisecond), "a")
		assert.Assert(t, found)
		_, found = s.Get(now.Add(1900*time.Millisecond), "a")
		assert.Assert(t, !found)
	})
	t.Run("a watch returns each changed key once, also deleted ones", func(t *testing.T) {
		s := NewStore()
		first := assertPut(t, s, now, "p/a", ExpectAny, "")
		assertPut(t, s, now, "p/b", ExpectAny, "")
		assertPut(t, s, now, "q", ExpectAny, "")
		_, err := s.Delete(now, "p/a", ExpectAny)
		assert.NilError(t, err)
		entries, revision, err := s.Watch(context.Background(), "p/", first, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, revision, Version(4))
		assert.Equal(t, len(entries), 2)
		assert.Assert(t, entries[1].Deleted)
	})
	t.Run("a change ends a waiting watch", func(t *testing.T) {
		s := NewStore()
		got := make(chan int)
		go func() {
			entries, _, _ := s.Watch(context.Background(), "p/", 0, time.Minute)
			got <- len(entries)
		}()
		assertPut(t, s, now, "p/a", ExpectAny, "")
		assert.Equal(t, <-got, 1)
	})
	t.Run("a watch after a compacted version fails", func(t *testing.T) {
		s := NewStore()
		for range 2*minHistory + 1 {
			assertPut(t, s, now, "a", ExpectAny, "")
		}
		_, _, err := s.Watch(context.Background(), "", 0, 0)
		assert.Assert(t, errors.Is(err, ErrCompacted))
	})
}

func TestRateLimit(t *testing.T) {
	table := counts.New()
	service := New(Options{Counts: table, ReadsPerSecond: 1, WritesPerSecond: 1})
	statuses := []int{}
	for range 2 {
		recorder := httptest.NewRecorder()
		service.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/put", strings.NewReader(`{"Key":"a","Expect":-1}`)))
		statuses = append(statuses, recorder.Code)
	}
	assert.DeepEqual(t, statuses, []int{200, 429})
	assert.Equal(t, table.Snapshot()["keyvalue"]["rate_limited"], int64(1))
}
