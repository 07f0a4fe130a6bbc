package mesh

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Each field of a delta decides whether a node may apply it.
func TestDeltaSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	d := datastore.Delta{
		From: datastore.Position{Era: 2, Revision: 90}, Position: datastore.Position{Era: 3, Revision: 12},
		Complete: true, Compared: true,
		Objects: []datastore.Object{{Name: "i-1", Content: []byte("last"), Removed: true}, {Name: "i-2", Content: []byte("x")}},
	}
	raw, err := proto.Marshal(encodeChanges(d))
	is.NoErr(err)
	c := &schema.MeshChanges{}
	is.NoErr(proto.Unmarshal(raw, c))
	is.Equal(decodeChanges(c), d)
}

// The work of one team must not count for another one whose name and service read alike
// together.
func TestSharesOfNamesWithSlashesAreKeptApart(t *testing.T) {
	is := is.New(t)
	shares := map[ShareKey]Share{
		{Service: "a/b", Team: "c"}: {GrantedMillis: 1},
		{Service: "a", Team: "b/c"}: {GrantedMillis: 2},
	}
	u := newEncoder().use("", changes{shares: shares})
	is.Equal(newDecoder().use(u).shares, shares)
}
