package resume

import "slices"

// Possible says where streams that are under way may have begun. The nodes keep it in the
// store, so that it outlives all of them.
type Possible struct {
	// Versions holds the versions of each service that streams lead to. A node begins
	// streams at a version only once it is listed here (see Registry.Admit).
	Versions map[string][]string
	// Routes holds the services of each route that has led to several.
	Routes map[string][]string
}

// isEmpty reports whether p lists nothing.
func (p Possible) isEmpty() bool { return len(p.Versions) == 0 && len(p.Routes) == 0 }

// union returns what p or other lists.
func (p Possible) union(other Possible) Possible {
	return Possible{unionOf(p.Versions, other.Versions), unionOf(p.Routes, other.Routes)}
}

// minus returns what p lists and other does not.
func (p Possible) minus(other Possible) Possible {
	return Possible{difference(p.Versions, other.Versions), difference(p.Routes, other.Routes)}
}

func unionOf(a, b map[string][]string) map[string][]string {
	all := make(map[string][]string, len(a)+len(b))
	for _, m := range []map[string][]string{a, b} {
		for key, names := range m {
			all[key] = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(all[key]), names...))))
		}
	}
	return all
}

func difference(a, b map[string][]string) map[string][]string {
	rest := make(map[string][]string)
	for key, names := range a {
		for _, name := range names {
			if !slices.Contains(b[key], name) {
				rest[key] = append(rest[key], name)
			}
		}
	}
	return rest
}
