package register

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

// Load reads one or several TOML files, concatenates their lists and checks the
// resulting configuration. A VM without a state is active. The error is a
// *fault.Error of kind bad-request that wraps tomlproto.Problems.
func Load(paths ...string) (*schema.Config, error) {
	c, sources, err := readFiles(paths)
	if err != nil {
		return nil, invalidConfig(err)
	}
	if err := Check(c); err != nil {
		return nil, invalidConfig(sources.locate(err))
	}
	Sort(c)
	return c, nil
}

// LoadPartial reads files as Load does but does not check the resulting
// configuration, for edits that contain only some items.
func LoadPartial(paths ...string) (*schema.Config, error) {
	c, _, err := readFiles(paths)
	if err != nil {
		return nil, invalidConfig(err)
	}
	return c, nil
}

func invalidConfig(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
		"the register is refused", "correct each line named, then run primrosectl check")
}

func readFiles(paths []string) (*schema.Config, sources, error) {
	merged := &schema.Config{}
	origin := make(sources)
	var problems tomlproto.Problems
	for _, path := range paths {
		document, err := tomlproto.ReadFile(path)
		if err != nil {
			problems = appendProblems(problems, err)
			continue
		}
		c := &schema.Config{}
		if err := document.Decode(c); err != nil {
			problems = appendProblems(problems, err)
			continue
		}
		origin.appendLists(merged, c, document)
	}
	setDefaultState(merged.GetVms())
	return merged, origin, problems.Err()
}

func appendProblems(problems tomlproto.Problems, err error) tomlproto.Problems {
	var more tomlproto.Problems
	if errors.As(err, &more) {
		return append(problems, more...)
	}
	return append(problems, tomlproto.Problem{Found: err.Error(), Remedy: "correct the file"})
}

func setDefaultState(vms []*schema.VM) {
	for _, vm := range vms {
		if vm.GetState() == schema.VMState_VM_STATE_UNSPECIFIED {
			vm.State = schema.VMState_VM_STATE_ACTIVE
		}
	}
}

// source is the file and list index that an element of a merged list comes from.
type source struct {
	document *tomlproto.Document
	index    int
}

// sources maps an element of the merged configuration, such as "vms[3]", to its
// source.
type sources map[string]source

// appendLists appends the lists of c, read from document, to those of merged,
// and records the source of each element.
func (x sources) appendLists(merged, c *schema.Config, document *tomlproto.Document) {
	merged.Revision = max(merged.GetRevision(), c.GetRevision())
	merged.AvailabilityZones = appendList(x, "availability_zones", merged.AvailabilityZones, c.AvailabilityZones, document)
	merged.Tiers = appendList(x, "tiers", merged.Tiers, c.Tiers, document)
	merged.Services = appendList(x, "services", merged.Services, c.Services, document)
	merged.Teams = appendList(x, "teams", merged.Teams, c.Teams, document)
	merged.Vms = appendList(x, "vms", merged.Vms, c.Vms, document)
}

func appendList[T Item](x sources, name string, merged, list []T, document *tomlproto.Document) []T {
	for i, item := range list {
		x[elementKey(name, len(merged))] = source{document, i}
		merged = append(merged, item)
	}
	return merged
}

func elementKey(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}

// locate adds the file and line of its key to each problem of err.
func (x sources) locate(err error) error {
	var problems tomlproto.Problems
	if !errors.As(err, &problems) {
		return err
	}
	located := make(tomlproto.Problems, len(problems))
	for i, p := range problems {
		located[i] = x.problem(p)
	}
	return located
}

func (x sources) problem(p tomlproto.Problem) tomlproto.Problem {
	end := strings.Index(p.Key, "]")
	if end < 0 {
		return p
	}
	from, ok := x[p.Key[:end+1]]
	if !ok {
		return p
	}
	list, _, _ := strings.Cut(p.Key, "[")
	key := fmt.Sprintf("%s%s", elementKey(list, from.index), p.Key[end+1:])
	return from.document.Problem(key, p.Found, p.Remedy)
}
