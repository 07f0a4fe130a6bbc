// Package tomlproto decodes TOML files into protobuf messages and encodes
// messages as TOML. Keys are the field names of the schema, durations use the
// syntax of time.ParseDuration, and enum values are in lower case without the
// type's prefix. Unknown keys and values of the wrong type are all reported
// together, each with its file, line and key.
package tomlproto

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Document is one parsed file.
type Document struct {
	// File is the name given to Parse.
	File  string
	table map[string]any
	lines lineIndex
}

// ReadFile reads and parses a file. The error is of type Problems.
func ReadFile(path string) (*Document, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, Problems{{File: path, Found: "the file does not exist", Remedy: "check the path"}}
	}
	if err != nil {
		return nil, Problems{{File: path, Found: err.Error(), Remedy: "make the file readable for this user"}}
	}
	return Parse(path, data)
}

// Parse parses TOML. The error is of type Problems.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{File: file}
	if err := toml.Unmarshal(data, &d.table); err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	d.lines = indexLines(data)
	return d, nil
}

func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Found: err.Error(), Remedy: "correct the TOML syntax"}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		p.Line, _ = decodeErr.Position()
	}
	return p
}

// Decode decodes the document into m, which must be empty. The error is of type
// Problems and contains every unknown key and invalid value.
func (d *Document) Decode(m proto.Message) error {
	c := converter{document: d}
	value := c.convertMessage("", d.table, m.ProtoReflect().Descriptor())
	if err := c.problems.Err(); err != nil {
		return err
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", d.File, err)
	}
	if err := protojson.Unmarshal(text, m); err != nil {
		return Problems{{File: d.File, Found: err.Error(), Remedy: "write the value as the schema states"}}
	}
	return nil
}

// Problem returns a problem of the value at key. Its line is that of the key, or
// of the closest table around the key if the file does not contain it.
func (d *Document) Problem(key, found, remedy string) Problem {
	return Problem{File: d.File, Line: d.lines.find(key), Key: key, Found: found, Remedy: remedy}
}

// FillDefaults copies into m each field of defaults that the document does not
// set. It descends into nested messages but not into the elements of lists.
func (d *Document) FillDefaults(m, defaults proto.Message) {
	fillDefaults(m.ProtoReflect(), defaults.ProtoReflect(), d.table)
}

func fillDefaults(m, defaults protoreflect.Message, table map[string]any) {
	defaults.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		documentValue, present := table[string(field.Name())]
		if !present {
			m.Set(field, value)
			return true
		}
		nested, ok := documentValue.(map[string]any)
		if ok && field.Message() != nil && !field.IsList() {
			fillDefaults(m.Mutable(field).Message(), value.Message(), nested)
		}
		return true
	})
}
