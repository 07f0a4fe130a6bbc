package tomlproto

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
)

const durationName = "google.protobuf.Duration"

// converter converts decoded TOML values into the form that protojson accepts,
// and collects the problems of values that do not match the schema.
type converter struct {
	document *Document
	problems Problems
}

func (c *converter) report(path, found, remedy string) any {
	c.problems = append(c.problems, c.document.Problem(path, found, remedy))
	return nil
}

func (c *converter) convertMessage(path string, value any, schema protoreflect.MessageDescriptor) any {
	if schema.FullName() == durationName {
		return c.convertDuration(path, value)
	}
	table, ok := value.(map[string]any)
	if !ok {
		return c.wrongType(path, value, "a table")
	}
	out := make(map[string]any, len(table))
	for _, key := range slices.Sorted(maps.Keys(table)) {
		field := schema.Fields().ByName(protoreflect.Name(key))
		if field == nil {
			c.report(joinKey(path, key), "unknown key", "remove it or use one of: "+fieldNames(schema))
			continue
		}
		out[key] = c.convertField(joinKey(path, key), table[key], field)
	}
	return out
}

func (c *converter) convertField(path string, value any, field protoreflect.FieldDescriptor) any {
	if !field.IsList() {
		return c.convertElement(path, value, field)
	}
	list, ok := value.([]any)
	if !ok {
		return c.wrongType(path, value, "a list")
	}
	out := make([]any, len(list))
	for i, element := range list {
		out[i] = c.convertElement(fmt.Sprintf("%s[%d]", path, i), element, field)
	}
	return out
}

func (c *converter) convertElement(path string, value any, field protoreflect.FieldDescriptor) any {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return c.convertMessage(path, value, field.Message())
	case protoreflect.EnumKind:
		return c.convertEnum(path, value, field.Enum())
	case protoreflect.StringKind:
		return convertScalar[string](c, path, value, "a string")
	case protoreflect.BoolKind:
		return convertScalar[bool](c, path, value, "true or false")
	case protoreflect.DoubleKind:
		return c.convertFloat(path, value)
	case protoreflect.Uint32Kind:
		return c.convertInteger(path, value, 0, math.MaxUint32)
	case protoreflect.Uint64Kind:
		return c.convertInteger(path, value, 0, math.MaxInt64)
	default:
		return c.convertInteger(path, value, math.MinInt64, math.MaxInt64)
	}
}

func convertScalar[T any](c *converter, path string, value any, want string) any {
	if v, ok := value.(T); ok {
		return v
	}
	return c.wrongType(path, value, want)
}

func (c *converter) wrongType(path string, value any, want string) any {
	return c.report(path, "found "+describeValue(value), "write "+want)
}

func (c *converter) convertFloat(path string, value any) any {
	switch v := value.(type) {
	case int64:
		return v
	case float64:
		if !math.IsInf(v, 0) && !math.IsNaN(v) {
			return v
		}
	}
	return c.wrongType(path, value, "a finite number")
}

func (c *converter) convertInteger(path string, value any, low, high int64) any {
	v, ok := wholeNumber(value)
	if !ok {
		return c.wrongType(path, value, "a whole number")
	}
	if v < low || v > high {
		return c.report(path, fmt.Sprintf("%d is out of range", v), fmt.Sprintf("write a number from %d to %d", low, high))
	}
	return v
}

// maxExactFloat bounds the whole numbers that a float64 represents exactly.
const maxExactFloat = 1 << 53

// wholeNumber returns the value of an integer, or of a float without a fraction.
func wholeNumber(value any) (int64, bool) {
	switch v := value.(type) {
	case int64:
		return v, true
	case float64:
		return int64(v), v == math.Trunc(v) && math.Abs(v) <= maxExactFloat
	default:
		return 0, false
	}
}

func (c *converter) convertDuration(path string, value any) any {
	text, ok := value.(string)
	if !ok {
		return c.wrongType(path, value, `a duration such as "250ms" or "5s"`)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return c.wrongType(path, value, `a duration such as "250ms" or "5s"`)
	}
	seconds, nanos := d/time.Second, d%time.Second
	sign := ""
	if d < 0 {
		sign, seconds, nanos = "-", -seconds, -nanos
	}
	return fmt.Sprintf("%s%d.%09ds", sign, seconds, nanos)
}

func (c *converter) convertEnum(path string, value any, enum protoreflect.EnumDescriptor) any {
	text, ok := value.(string)
	prefix := enumPrefix(enum)
	if ok {
		v := enum.Values().ByName(protoreflect.Name(prefix + strings.ToUpper(text)))
		if v != nil && v.Number() != 0 {
			return string(v.Name())
		}
	}
	return c.wrongType(path, value, "one of: "+enumNames(enum))
}

// enumPrefix returns the prefix that all value names of an enum share.
func enumPrefix(enum protoreflect.EnumDescriptor) string {
	return strings.TrimSuffix(string(enum.Values().Get(0).Name()), "UNSPECIFIED")
}

func enumNames(enum protoreflect.EnumDescriptor) string {
	var names []string
	for i := 1; i < enum.Values().Len(); i++ {
		names = append(names, enumText(enum, enum.Values().Get(i).Number()))
	}
	return strings.Join(names, ", ")
}

func enumText(enum protoreflect.EnumDescriptor, number protoreflect.EnumNumber) string {
	v := enum.Values().ByNumber(number)
	if v == nil {
		return strconv.Itoa(int(number))
	}
	return strings.ToLower(strings.TrimPrefix(string(v.Name()), enumPrefix(enum)))
}

func fieldNames(schema protoreflect.MessageDescriptor) string {
	names := make([]string, schema.Fields().Len())
	for i := range names {
		names[i] = string(schema.Fields().Get(i).Name())
	}
	return strings.Join(names, ", ")
}

func describeValue(value any) string {
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	default:
		return fmt.Sprint(v)
	}
}
