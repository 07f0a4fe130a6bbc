package register

import (
	"fmt"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Merge carries changes over to current, which may have moved on since the
// changes were made. A change of an item that is now neither as it was before
// the change nor already as after it conflicts; the *fault.Error of kind
// conflict names every such item. current is not modified.
func Merge(current *schema.Config, changes []Change) (*schema.Config, error) {
	set := itemsOf(current)
	var conflicts []string
	for _, c := range changes {
		key := itemKey{c.Kind, c.Name}
		now := set[key]
		switch {
		case equal(now, c.After):
		case !equal(now, c.Before):
			conflicts = append(conflicts, conflictText(c, now))
		case c.After == nil:
			delete(set, key)
		default:
			set[key] = c.After
		}
	}
	if len(conflicts) > 0 {
		return nil, conflict(current.GetRevision(), conflicts)
	}
	merged := set.config()
	merged.Revision = current.GetRevision()
	return merged, nil
}

func conflictText(c Change, now Item) string {
	other := Change{Kind: c.Kind, Name: c.Name, Before: c.Before, After: now}
	return other.String()
}

func conflict(revision uint64, conflicts []string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT,
		fmt.Sprintf("another edit came first (revision %d): %s", revision, strings.Join(conflicts, ", ")),
		"read the register again with primrosectl get, redo the edit of these items and apply it")
}

// Overlay returns config with the items of partial added; those of the same
// kind and name are replaced. The result shares items with both.
func Overlay(config, partial *schema.Config) *schema.Config {
	set := itemsOf(config)
	for key, item := range itemsOf(partial) {
		set[key] = item
	}
	overlaid := set.config()
	overlaid.Revision = config.GetRevision()
	return overlaid
}
