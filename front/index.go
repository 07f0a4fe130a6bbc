package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	bearerPrefix = "Bearer "
	maxKeyBytes  = 512
)

// keyHash is the SHA-256 hash of a bearer key.
type keyHash [sha256.Size]byte

// index maps keys to teams and models to services for one configuration.
type index struct {
	config     *schema.Config
	teamsByKey map[keyHash]keyEntry
	// servicesByModel maps each model to the first service that lists it.
	servicesByModel map[string]*schema.Service
	models          []Model
}

// keyEntry repeats the hash so that authenticate can compare it in constant time.
type keyEntry struct {
	hash keyHash
	team *schema.Team
}

// Model is one entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response body of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

func newIndex(config *schema.Config) *index {
	x := &index{
		config:          config,
		teamsByKey:      make(map[keyHash]keyEntry),
		servicesByModel: make(map[string]*schema.Service),
		models:          []Model{},
	}
	for _, team := range config.GetTeams() {
		x.addTeam(team)
	}
	for _, service := range config.GetServices() {
		x.addModels(service)
	}
	return x
}

// addTeam indexes the team's key hashes. Malformed hashes are skipped.
func (x *index) addTeam(team *schema.Team) {
	for _, text := range team.GetKeyHashes() {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		hash := keyHash(raw)
		x.teamsByKey[hash] = keyEntry{hash, team}
	}
}

func (x *index) addModels(service *schema.Service) {
	if service.GetKind() != schema.ServiceKind_SERVICE_KIND_ENGINE {
		return
	}
	for _, name := range service.GetModels() {
		if _, taken := x.servicesByModel[name]; taken {
			continue
		}
		x.servicesByModel[name] = service
		x.models = append(x.models, Model{ID: name, Object: "model", OwnedBy: service.GetName()})
	}
}

// indexFor returns the index of the snapshot's configuration, and builds it if
// the configuration has changed.
func (f *Front) indexFor(s *topology.Snapshot) *index {
	x := f.index.Load()
	if x != nil && x.config == s.Config {
		return x
	}
	x = newIndex(s.Config)
	f.index.Store(x)
	return x
}

// authenticate returns the team of the request's bearer key. It looks up the
// key's hash, so the timing of the lookup reveals nothing about the keys.
func (x *index) authenticate(r *http.Request) (*schema.Team, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" || len(key) > maxKeyBytes {
		return nil, unauthenticated("no bearer key came with the request")
	}
	hash := keyHash(sha256.Sum256([]byte(key)))
	entry, ok := x.teamsByKey[hash]
	if !ok || subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 {
		return nil, unauthenticated("the bearer key belongs to no team")
	}
	return entry.team, nil
}

func unauthenticated(message string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_UNAUTHENTICATED, message,
		"send Authorization: Bearer with the team's key").WithOutcomeNotRun()
}
