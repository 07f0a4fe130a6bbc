package tomlproto

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Encode encodes a message as TOML that Decode can read. Fields with their zero
// value are omitted.
func Encode(m proto.Message) ([]byte, error) {
	text, err := toml.Marshal(encodeMessage(m.ProtoReflect()))
	if err != nil {
		return nil, fmt.Errorf("encode TOML: %w", err)
	}
	return text, nil
}

func encodeMessage(m protoreflect.Message) any {
	if d, ok := m.Interface().(*durationpb.Duration); ok {
		return d.AsDuration().String()
	}
	table := make(map[string]any)
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		table[string(field.Name())] = encodeField(field, value)
		return true
	})
	return table
}

func encodeField(field protoreflect.FieldDescriptor, value protoreflect.Value) any {
	if !field.IsList() {
		return encodeSingle(field, value)
	}
	list := make([]any, value.List().Len())
	for i := range list {
		list[i] = encodeSingle(field, value.List().Get(i))
	}
	return list
}

func encodeSingle(field protoreflect.FieldDescriptor, value protoreflect.Value) any {
	switch {
	case field.Message() != nil:
		return encodeMessage(value.Message())
	case field.Enum() != nil:
		return enumText(field.Enum(), value.Enum())
	default:
		return value.Interface()
	}
}
