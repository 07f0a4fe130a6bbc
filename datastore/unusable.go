package datastore

import (
	"strings"

	"github.com/phuslu/log"
)

// maxLoggedBytes bounds a name or an error in the log line of an unusable item, of
// which both may come from another writer.
const maxLoggedBytes = 200

// screen logs the items that cannot be used, each once until it can be used or is
// gone, and drops those that were not in use: another writer may change one with each
// heartbeat. complete means that the changes list all items.
func (f *Follower[T]) screen(changes []Change[T], complete bool) []Change[T] {
	logged := f.unusable
	if complete || logged == nil {
		f.unusable = make(map[string]bool)
	}
	kept := make([]Change[T], 0, len(changes))
	added := make(map[string]bool)
	for _, c := range changes {
		if c.Removed || c.Err == nil {
			delete(f.unusable, c.Name)
			added[c.Name] = true
			kept = append(kept, c)
			continue
		}
		if !logged[c.Name] && !f.unusable[c.Name] {
			logUnusable(f.Logger, f.Kind, c.Name, c.Err)
		}
		f.unusable[c.Name] = true
		if _, used := f.items[c.Name]; used || added[c.Name] {
			kept = append(kept, c)
		}
	}
	return kept
}

func logUnusable(logger *log.Logger, kind, name string, err error) {
	logger.Warn().Str("event", "object_unusable").Str("kind", kind).Str("name", shorten(name)).Str("error", shorten(err.Error())).Msg("")
}

// shorten returns at most maxLoggedBytes of a text.
func shorten(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedBytes], "") + "…"
}
