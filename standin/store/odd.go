package store

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
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
