package register

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// HeadKey is the key of the head object, which references the parts of the
	// accepted configuration.
	HeadKey = "config/head"

	partPrefix = "config/part/"
	rulesPart  = "rules"
	hashBytes  = 8

	// A bucket holds about 16 items: the number of buckets doubles or halves
	// when the mean number of items per bucket leaves these bounds.
	maxMeanBucketSize = 24
	minMeanBucketSize = 8
)

// partKey returns the key of a part object. The key contains the revision that
// introduced the part: only that revision's head can be the first to reference
// it, so a retired part is never used again and may be deleted.
func partKey(p *schema.ConfigPart) string {
	return fmt.Sprintf("%s%d-%s", partPrefix, p.GetRevision(), hex.EncodeToString(p.GetHash()))
}

func contentHash(content []byte) []byte {
	sum := sha256.Sum256(content)
	return sum[:hashBytes]
}

// headHash returns the hash of a head without its retired parts.
func headHash(head *schema.ConfigHead) []byte {
	hashed := &schema.ConfigHead{
		Revision:     head.GetRevision(),
		Parts:        head.GetParts(),
		Author:       head.GetAuthor(),
		Nonce:        head.GetNonce(),
		TeamBuckets:  head.GetTeamBuckets(),
		VmBuckets:    head.GetVmBuckets(),
		RecentNonces: head.GetRecentNonces(),
	}
	return contentHash(marshal(hashed))
}

// marshal serializes a message deterministically. It panics on an error, since
// the messages of this package can always be serialized.
func marshal(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("register: marshal: %v", err))
	}
	return raw
}

// bucketCount returns the number of buckets for a number of items, a power of
// two, given the present number of buckets; 0 means none yet.
func bucketCount(items int, present uint32) uint32 {
	n := present
	if n == 0 || bits.OnesCount32(n) != 1 {
		n = 1
	}
	for items > maxMeanBucketSize*int(n) {
		n *= 2
	}
	for n > 1 && items < minMeanBucketSize*int(n) {
		n /= 2
	}
	return n
}

func bucketOf(name string, buckets uint32) uint32 {
	return uint32(xxhash.Sum64String(name)) & (buckets - 1)
}

func teamPart(i uint32) string { return fmt.Sprintf("t%d", i) }

func vmPart(i uint32) string { return fmt.Sprintf("v%d", i) }

// partNames lists the parts in canonical order.
func partNames(teamBuckets, vmBuckets uint32) []string {
	names := make([]string, 0, 1+teamBuckets+vmBuckets)
	names = append(names, rulesPart)
	for i := range teamBuckets {
		names = append(names, teamPart(i))
	}
	for i := range vmBuckets {
		names = append(names, vmPart(i))
	}
	return names
}

// splitParts distributes a sorted configuration over its parts. Teams and VMs
// are assigned to buckets by the hash of their name.
func splitParts(c *schema.Config, teamBuckets, vmBuckets uint32) map[string]*schema.Config {
	parts := make(map[string]*schema.Config)
	for _, name := range partNames(teamBuckets, vmBuckets) {
		parts[name] = &schema.Config{}
	}
	rules := parts[rulesPart]
	rules.AvailabilityZones = c.GetAvailabilityZones()
	rules.Tiers = c.GetTiers()
	rules.Services = c.GetServices()
	for _, team := range c.GetTeams() {
		p := parts[teamPart(bucketOf(team.GetName(), teamBuckets))]
		p.Teams = append(p.Teams, team)
	}
	for _, vm := range c.GetVms() {
		p := parts[vmPart(bucketOf(vm.GetName(), vmBuckets))]
		p.Vms = append(p.Vms, vm)
	}
	return parts
}

// part is one part of a configuration, in encoded and decoded form.
type part struct {
	ref     *schema.ConfigPart
	content []byte
	config  *schema.Config
}

// decodePart verifies content against the hash in ref and decodes it.
func decodePart(ref *schema.ConfigPart, content []byte) (*part, error) {
	if string(contentHash(content)) != string(ref.GetHash()) {
		return nil, corrupted(ref.GetName(), nil)
	}
	c := &schema.Config{}
	if err := proto.Unmarshal(content, c); err != nil {
		return nil, corrupted(ref.GetName(), err)
	}
	return &part{ref: ref, content: content, config: c}, nil
}

func corrupted(name string, cause error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_INTERNAL, cause,
		"configuration part "+name+" does not match its hash",
		"apply the register again with primrosectl apply")
}

// snapshot is one complete revision of the configuration. It is immutable.
type snapshot struct {
	head   *schema.ConfigHead
	hash   []byte
	parts  map[string]*part
	config *schema.Config
}

// newSnapshot combines the parts that head references.
func newSnapshot(head *schema.ConfigHead, parts map[string]*part) *snapshot {
	c := &schema.Config{Revision: head.GetRevision()}
	for _, ref := range head.GetParts() {
		p := parts[ref.GetName()].config
		c.AvailabilityZones = append(c.AvailabilityZones, p.GetAvailabilityZones()...)
		c.Tiers = append(c.Tiers, p.GetTiers()...)
		c.Services = append(c.Services, p.GetServices()...)
		c.Teams = append(c.Teams, p.GetTeams()...)
		c.Vms = append(c.Vms, p.GetVms()...)
	}
	Sort(c)
	return &snapshot{head: head, hash: headHash(head), parts: parts, config: c}
}

func (s *snapshot) revision() uint64 {
	if s == nil {
		return 0
	}
	return s.head.GetRevision()
}

func (s *snapshot) part(name string) *part {
	if s == nil {
		return nil
	}
	return s.parts[name]
}
