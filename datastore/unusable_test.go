package datastore_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
)

var errOdd = errors.New(strings.Repeat("odd ", 1<<18))

// lines counts the log lines of a node and their bytes.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), event)
}

func (l *lines) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Len()
}

func (l *lines) log(o *datastore.Options) {
	o.Logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: l}}
}

func (s *fakeStore[T]) putOdd(name string) {
	s.change(datastore.Change[T]{Name: name, Err: errOdd})
}

// Another writer repeats its entry with every heartbeat.
func TestAnUnusableItemIsLoggedOnceUntilItIsUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l lines
		f := startFixture(t).startPeer(t, l.log)
		time.Sleep(2 * time.Second)
		repeat := func() {
			for range 50 {
				f.targets.putOdd("i-odd")
				f.targets.putOdd("")
				f.targets.putOdd(strings.Repeat("long", 1<<18))
				time.Sleep(time.Second)
			}
		}
		repeat()
		is.Equal(l.count("object_unusable"), 3)
		is.True(l.bytes() < 4096)
		f.targets.put("i-odd", &catalog.Target{ID: "i-odd", Service: "s"})
		time.Sleep(2 * time.Second)
		is.True(f.has("i-odd"))
		repeat()
		is.Equal(l.count("object_unusable"), 4)
		is.True(!f.has("i-odd"))
		is.True(f.has("i-1"))
	})
}

func TestAnUnusableItemIsPassedOnOnlyAsARemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(2 * time.Second)
		before := f.manager.Position(datastore.KindTargets)
		f.targets.putOdd("i-odd")
		time.Sleep(5 * time.Second)
		d, _, ok := f.manager.Changes(datastore.KindTargets, before)
		is.True(ok)
		is.Equal(len(d.Objects), 0)
		f.targets.putOdd("i-1")
		time.Sleep(5 * time.Second)
		d, _, ok = f.manager.Changes(datastore.KindTargets, before)
		is.True(ok)
		is.Equal(d.Objects, []datastore.Object{{Name: "i-1", Removed: true}})
	})
}

// One answer may hold a sound entry and the odd one that replaced it.
func TestAnItemThatBecomesUnusableAtOnceIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(2 * time.Second)
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s"})
		time.Sleep(latency + time.Millisecond) // The next watch waits for the pause after this change.
		f.targets.put("i-3", &catalog.Target{ID: "i-3", Service: "s"})
		f.targets.putOdd("i-3")
		f.targets.putOdd("i-2")
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s"})
		time.Sleep(5 * time.Second)
		is.True(!f.has("i-3"))
		is.True(f.has("i-2"))
	})
}

// A node that takes from another one what that has read loses the odd item only.
func TestAnUnusableItemDoesNotEndTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		z.run(5 * time.Second)
		z.putTarget(1, false)
		z.run(5 * time.Second)
		is.True(z.member.has("t-1"))
		before := z.memberCalls.Load()
		for i := range 20 {
			z.owner.targets.putOdd("t-1")
			z.owner.targets.putOdd("t-odd")
			z.putTarget(10+i, false)
			z.run(2 * time.Second)
			is.True(!z.member.has("t-1"))
			is.True(!z.member.has("t-odd"))
			is.True(z.member.has("i-1"))
		}
		for i := range 20 {
			is.True(z.member.has(fmt.Sprint("t-", 10+i)))
		}
		is.Equal(z.memberCalls.Load(), before)
	})
}

// The first answer after an outage may hold an odd item only; targets whose entries
// expired meanwhile are still kept.
func TestAnUnusableItemDoesNotHideTheEndOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(2 * time.Second)
		f.targets.set(func() { f.targets.down = true })
		time.Sleep(10 * time.Second)
		f.targets.putOdd("i-odd")
		f.targets.set(func() { f.targets.down = false })
		time.Sleep(time.Second) // The answer with the odd item, and the pause after it.
		f.targets.remove("i-1")
		time.Sleep(500 * time.Millisecond)
		is.True(f.has("i-1"))
		time.Sleep(3 * time.Second)
		is.True(!f.has("i-1"))
	})
}
