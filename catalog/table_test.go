package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

func route(name, host, prefix string) *catalog.Route {
	return &catalog.Route{Name: name, Host: host, PathPrefix: prefix, Shares: []catalog.WeightedService{{Service: "s", Weight: 1}}}
}

func TestRouteMatchesTheLongestPrefixOfTheHost(t *testing.T) {
	table := catalog.NewTable(&catalog.Config{Routes: []*catalog.Route{
		route("all", "a.example", "/"),
		route("long", "a.example", "/walks/long/"),
		route("walks", "a.example", "/walks/"),
		route("other", "b.example", "/walks/long/way/"),
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/walks/long/1", "long"},
		{"a.example", "/walks/long", "walks"},
		{"a.example", "/walks", "all"},
		{"a.example", "/", "all"},
		{"a.example", "/walks/long/way/x", "long"},
		{"b.example", "/walks/long/way/x", "other"},
		{"b.example", "/walks/", ""},
		{"c.example", "/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Route(c.host, c.path); r != nil {
				got = r.Name
			}
			is.Equal(got, c.want)
		})
	}
}

func TestTeamIsFoundByKey(t *testing.T) {
	is := is.New(t)
	table := catalog.NewTable(&catalog.Config{Teams: []*catalog.Team{
		{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}},
	}})
	is.Equal(table.Team("k2").Name, "one")
	is.Equal(table.Team("k3").Name, "two")
	is.True(table.Team("") == nil)
	is.True(table.Team("k") == nil)
	is.True(table.HasTeams())
}

func TestPickChoosesByWeight(t *testing.T) {
	is := is.New(t)
	r := &catalog.Route{Shares: []catalog.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	is.Equal(r.PickService(0), "a")
	is.Equal(r.PickService(0.899), "a")
	is.Equal(r.PickService(0.901), "b")
	is.Equal(r.PickService(0.999999), "b")
}

func TestSharesBelowOneAreDistributedByWeight(t *testing.T) {
	is := is.New(t)
	r := &catalog.Route{Shares: []catalog.WeightedService{{Service: "a", Weight: 0.75}, {Service: "b", Weight: 0.25}}}
	is.Equal(r.PickService(0.74), "a")
	is.Equal(r.PickService(0.76), "b")
}

func TestOnlyIdempotentAndResumableRoutesAreRepeatable(t *testing.T) {
	is := is.New(t)
	is.True(!(&catalog.Route{Kind: catalog.NonIdempotent}).Repeatable())
	is.True((&catalog.Route{Kind: catalog.Idempotent}).Repeatable())
	is.True(!(&catalog.Route{Kind: catalog.Streaming}).Repeatable())
	is.True((&catalog.Route{Kind: catalog.Streaming, Resume: true}).Repeatable())
	is.True(!(&catalog.Route{Kind: catalog.NonIdempotent, Resume: true}).Repeatable())
}
