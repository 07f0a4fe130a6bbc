package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// However requests hold back and release, they stay within the limit, a small answer is
// always held, and nothing is left over at the end.
func TestRequestsHoldBackNoMoreThanTheLimitTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := &heldBytes{limit: rapid.IntRange(0, 1<<20).Draw(rt, "limit")}
		holdings := make([]*holding, rapid.IntRange(1, 20).Draw(rt, "requests"))
		for i := range holdings {
			holdings[i] = &holding{all: all}
		}
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			h := rapid.SampledFrom(holdings).Draw(rt, "request")
			n := rapid.IntRange(0, maxEventBytes).Draw(rt, "bytes")
			before, less := h.counted, n-freeHeldBytes <= h.counted
			if ok := h.set(n); !ok && (n <= freeHeldBytes || less || h.counted != before) {
				rt.Fatalf("%d bytes refused", n)
			}
			sum := 0
			for _, h := range holdings {
				sum += h.counted
			}
			if sum != all.used || sum > all.limit {
				rt.Fatalf("%d bytes counted, %d held, limit %d", all.used, sum, all.limit)
			}
		}
		for _, h := range holdings {
			h.release()
		}
		if all.used != 0 {
			rt.Fatalf("%d bytes are left over", all.used)
		}
	})
}

// However many requests hold back as much as they may, one more may hold back as much.
func TestManyRequestsLeaveAsMuchForOneMore(t *testing.T) {
	is := is.New(t)
	all := &heldBytes{limit: 16 << 20}
	fill := func() int {
		h, n := &holding{all: all}, 0
		for h.set(n + streamReadBytes) {
			n += streamReadBytes
		}
		return n
	}
	for last := all.limit; last > freeHeldBytes; {
		got := fill()
		is.True(got <= last)
		is.True(got >= min(last, freeHeldBytes+all.limit-all.used)-2*streamReadBytes)
		last = got
	}
	is.True(fill() >= freeHeldBytes)
}

func TestAnswerIsHeldBackUpToItsBounds(t *testing.T) {
	for name, c := range map[string]struct {
		body, limit, bound, want int
		err                      error
	}{
		"whole":               {1000, 1 << 20, 2000, 1000, io.EOF},
		"longer than bound":   {3000, 1 << 20, 2000, 2000, nil},
		"as long as bound":    {2000, 1 << 20, 2000, 2000, nil},
		"others hold back":    {1 << 20, 0, 1 << 20, freeHeldBytes, nil},
		"small beside others": {1000, 0, 2000, 1000, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &holding{all: &heldBytes{limit: c.limit}}
			data, err := h.readHeld(bytes.NewReader(make([]byte, c.body)), c.bound)
			is.Equal(err, c.err)
			is.Equal(len(data), c.want)
		})
	}
}

func TestSmallEventsPassWhileOthersHoldBackMuch(t *testing.T) {
	is := is.New(t)
	s := eventSplitter{held: &holding{all: &heldBytes{}}}
	for range 10 {
		_, err := s.add([]byte(strings.Repeat("x", streamReadBytes-2)))
		is.NoErr(err)
		ready, err := s.add([]byte("\n\n"))
		is.NoErr(err)
		is.Equal(len(ready), streamReadBytes)
		s.settle()
	}
	_, err := s.add(make([]byte, streamReadBytes))
	is.NoErr(err)
	_, err = s.add(make([]byte, streamReadBytes))
	is.NoErr(err)
	_, err = s.add([]byte{0})
	is.Equal(err, errHeldTooLarge)
}
