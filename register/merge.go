package register

import (
	"fmt"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Merge applies changes to current, which may be newer than the configuration
// that the changes are based on. A change conflicts if the item in current
// equals neither its state before nor its state after the change; the
// *fault.Error of kind conflict names every such item. current is not modified.
func Merge(current *schema.Config, changes []Change) (*schema.Config, error) {
	set := itemsOf(current)
	var conflicts []string
	for _, c := range changes {
		key := itemKey{c.Kind, c.Name}
		currentItem := set[key]
		switch {
		case equal(currentItem, c.After):
		case !equal(currentItem, c.Before):
			conflicts = append(conflicts, describeConflict(c, currentItem))
		case c.After == nil:
			delete(set, key)
		default:
			set[key] = c.After
		}
	}
	if len(conflicts) > 0 {
		return nil, conflictError(current.GetRevision(), conflicts)
	}
	merged := set.config()
	merged.Revision = current.GetRevision()
	return merged, nil
}

func describeConflict(c Change, currentItem Item) string {
	other := Change{Kind: c.Kind, Name: c.Name, Before: c.Before, After: currentItem}
	return other.String()
}

func conflictError(revision uint64, conflicts []string) error {
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
