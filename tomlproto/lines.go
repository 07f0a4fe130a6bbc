package tomlproto

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the dotted path of a key to its line number.
type lineIndex map[string]int

// find returns the line of key, or of the closest table around it if key is not
// in the file, or 0 if there is none.
func (x lineIndex) find(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// lineIndexer builds a lineIndex from a document's expressions.
type lineIndexer struct {
	data          []byte
	lines         lineIndex
	elementCounts map[string]int
	prefix        string
}

func indexLines(data []byte) lineIndex {
	x := lineIndexer{data: data, lines: make(lineIndex), elementCounts: make(map[string]int)}
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		x.indexExpression(parser.Expression())
	}
	return x.lines
}

func (x *lineIndexer) indexExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		x.prefix = x.recordKey("", node.Key())
	case unstable.ArrayTable:
		x.prefix = x.openArrayElement(node.Key())
	case unstable.KeyValue:
		x.indexKeyValue(x.prefix, node)
	}
}

func (x *lineIndexer) indexKeyValue(prefix string, node *unstable.Node) {
	path := x.recordKey(prefix, node.Key())
	x.indexValue(path, node.Value())
}

func (x *lineIndexer) indexValue(path string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.indexKeyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.indexValue(fmt.Sprintf("%s[%d]", path, i), children.Node())
		}
	}
}

// recordKey records the line of a key below prefix and returns the key's path,
// in which array tables have the index of their last element.
func (x *lineIndexer) recordKey(prefix string, key unstable.Iterator) string {
	path := prefix
	for key.Next() {
		node := key.Node()
		path = joinKey(path, string(node.Data))
		if _, seen := x.lines[path]; !seen {
			x.lines[path] = x.lineOf(node)
		}
		if count := x.elementCounts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path
}

// openArrayElement starts the next element of an array table and returns its
// path.
func (x *lineIndexer) openArrayElement(key unstable.Iterator) string {
	path := ""
	for key.Next() {
		node := key.Node()
		path = joinKey(path, string(node.Data))
		if key.IsLast() {
			x.elementCounts[path]++
		}
		if count := x.elementCounts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
		if key.IsLast() {
			x.lines[path] = x.lineOf(node)
		}
	}
	return path
}

func (x *lineIndexer) lineOf(node *unstable.Node) int {
	return bytes.Count(x.data[:node.Raw.Offset], []byte("\n")) + 1
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
