package store

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// PutRaw creates or replaces an object whose spec is any bytes, which the store returns
// as they are.
func (s *Store) PutRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// encoding/json refuses such bytes, so that a text stands for them until the
	// response is written.
	placeholder := fmt.Sprintf(`"raw spec %d"`, len(s.raw))
	s.raw = append(s.raw, spec)
	s.put(kind, name, json.RawMessage(placeholder))
}

var rawSpecPlaceholder = regexp.MustCompile(`"raw spec (\d+)"`)

// encode encodes the body of a response.
func (s *Store) encode(body any) ([]byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return rawSpecPlaceholder.ReplaceAllFunc(text, func(placeholder []byte) []byte {
		number := rawSpecPlaceholder.FindSubmatch(placeholder)[1]
		if i, err := strconv.Atoi(string(number)); err == nil && i < len(s.raw) {
			return s.raw[i]
		}
		return placeholder
	}), nil
}

// OddSpecs returns entries of another writer by name, each of which names no usable
// worker. Some cannot be decoded.
func OddSpecs() map[string]string {
	entry := func(field, value string) string {
		fields := map[string]string{"service": `"app"`, "address": `"127.0.0.1:9"`, "zone": `"a"`, "slots": "8", "state": `"ready"`, "coldRemainingMs": "0"}
		fields[field] = value
		var members []string
		for name, v := range fields {
			members = append(members, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(members, ",") + "}"
	}
	return map[string]string{
		"nested":   strings.Repeat("[", 30000) + strings.Repeat("]", 30000),
		"infinite": entry("slots", "Infinity"),
		"slots":    entry("slots", "1000000000000000000"),
		"cold":     entry("coldRemainingMs", "1e300"),
		"port":     entry("address", `"127.0.0.1:99999"`),
		"port-0":   entry("address", `"127.0.0.1:0"`),
		"state":    entry("state", `"dozing"`),
		"service":  entry("service", `"nowhere"`),
		"bytes":    entry("zone", "\"\xff\xfe\x00\""),
		"large":    entry("more", `"`+strings.Repeat("x", 1<<20)+`"`),
		"null":     "null",
		"text":     `"]}],{["`,
	}
}
