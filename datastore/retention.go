package datastore

import (
	"maps"
	"time"
)

// retention keeps items that are missing from a list after an outage of the store, or
// from an older copy from which it came back, until they may be taken for gone.
type retention[T any] struct {
	items map[string]T
	until time.Time
}

// extend makes the retention last for at least a grace from now on.
func (r *retention[T]) extend(now time.Time, grace time.Duration) {
	if end := now.Add(grace); grace > 0 && end.After(r.until) {
		r.until = end
	}
}

// lasts reports whether missing items are kept.
func (r *retention[T]) lasts(now time.Time) bool { return now.Before(r.until) }

// keep keeps the known items that a list lacks and that may be kept.
func (r *retention[T]) keep(known, listed map[string]T, mayKeep func(T) bool) {
	for name, item := range known {
		if _, ok := listed[name]; ok || !mayKeep(item) {
			continue
		}
		if r.items == nil {
			r.items = make(map[string]T)
		}
		r.items[name] = item
	}
}

// dropExpired drops all items once the retention has ended, and reports whether there
// were any.
func (r *retention[T]) dropExpired(now time.Time) bool {
	if len(r.items) == 0 || r.lasts(now) {
		return false
	}
	r.items = nil
	return true
}

// with returns a list and the kept items that it lacks.
func (r *retention[T]) with(listed map[string]T) map[string]T {
	if len(r.items) == 0 {
		return listed
	}
	all := maps.Clone(r.items)
	maps.Copy(all, listed)
	return all
}
