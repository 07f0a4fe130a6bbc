package proof

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const journalEntry = `{"at":["2026-12-04T09:00:00Z",""],"site":"farm","days":[
	{"name":"a","troubles":["burst","revoke"],"rules":{},"fault":null,"restarts":0.0},
	{"name":"b","troubles":["burst"],"rules":{"QUOTA":2},"fault":null,"restarts":1.0}]}`

func TestDaysAreCountedByInjectedFailure(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "one.json"), []byte(journalEntry), 0o600))
	old := strings.Replace(journalEntry, "T09", "T08", 1)
	is.NoErr(os.WriteFile(filepath.Join(dir, "two.json"), []byte(old), 0o600))
	since := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	days, err := ReadDays(dir, since)
	is.NoErr(err)
	is.Equal(len(days), 2)
	var b strings.Builder
	is.NoErr(WriteDays(&b, days, since))
	is.True(strings.Contains(b.String(), "| burst | 2 | QUOTA on 1, exits of its own on 1 |"))
	is.True(strings.Contains(b.String(), "| revoke | 1 | – |"))
}

func TestInvalidJournalEntryIsAnError(t *testing.T) {
	for _, content := range []string{"{", `{"at":[]}`, `{"at":["yesterday"]}`} {
		is := is.New(t)
		dir := t.TempDir()
		is.NoErr(os.WriteFile(filepath.Join(dir, "one.json"), []byte(content), 0o600))
		_, err := ReadDays(dir, time.Time{})
		is.True(err != nil)
	}
}
