package deployment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxCount is the largest value of an integer setting.
const maxCount = 1 << 16

// flatSettings maps dotted paths to values, as in the simulator's text. A list of scalars is a single value with commas between
// the items. A list of objects has their number at PATH.count, and the objects at PATH.0, PATH.1 and so on.
type flatSettings map[string]string

// number returns the value of a number, or 0 if it is missing or invalid.
func (s flatSettings) number(path string) float64 {
	v, err := strconv.ParseFloat(s[path], 64)
	if err != nil {
		return 0
	}
	return v
}

// count returns the value of an integer, limited to the range from 0 to maxCount.
func (s flatSettings) count(path string) int { return min(max(int(s.number(path)), 0), maxCount) }

func (s flatSettings) isTrue(path string) bool { return s[path] == "true" }

// list returns the items of a list of scalars.
func (s flatSettings) list(path string) []string {
	if s[path] == "" {
		return nil
	}
	return strings.Split(s[path], ",")
}

// item returns item i of a list of scalars, or "" if the list is shorter.
func (s flatSettings) item(path string, i int) string {
	if l := s.list(path); i < len(l) {
		return l[i]
	}
	return ""
}

// numberItem returns item i of a list of numbers, or 0 if it is missing or invalid.
func (s flatSettings) numberItem(path string, i int) float64 {
	v, err := strconv.ParseFloat(s.item(path, i), 64)
	if err != nil {
		return 0
	}
	return v
}

// indexes returns the items of a list that restricts a class to some of the names in the list at the path names, or nil if it is
// not set. An item is an index or a name; unknown names are ignored.
func (s flatSettings) indexes(path, names string) []int {
	if _, set := s[path]; !set {
		return nil
	}
	indexes := []int{}
	for _, item := range s.list(path) {
		if n, err := strconv.Atoi(item); err == nil {
			indexes = append(indexes, n)
		} else if n := slices.Index(s.list(names), item); n >= 0 {
			indexes = append(indexes, n)
		}
	}
	return indexes
}

// flatten adds the nested value at path. Nulls are ignored.
func (s flatSettings) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, item := range value {
			s.flatten(joinPath(path, key), item)
		}
	case []any:
		s.flattenList(path, value)
	case nil:
	default:
		s[path] = EscapeName(fmt.Sprint(value))
	}
}

func (s flatSettings) flattenList(path string, list []any) {
	if slices.ContainsFunc(list, isObject) {
		s[joinPath(path, "count")] = strconv.Itoa(len(list))
		for i, item := range list {
			s.flatten(joinPath(path, strconv.Itoa(i)), item)
		}
		return
	}
	items := make([]string, len(list))
	for i, item := range list {
		items[i] = EscapeName(fmt.Sprint(item))
	}
	s[path] = strings.Join(items, ",")
}

func isObject(value any) bool {
	_, ok := value.(map[string]any)
	return ok
}

func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// EscapeName returns the name as in the simulator's text, with spaces and commas replaced by underscores.
func EscapeName(s string) string { return nameEscapes.Replace(s) }

var nameEscapes = strings.NewReplacer(" ", "_", ",", "_")
