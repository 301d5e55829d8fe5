package deployment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxCount bounds the whole numbers of a configuration.
const maxCount = 1 << 16

// flatSettings are settings as the simulator's text has them: a path of names with dots, and its value. A list of plain values
// is one value with commas; a list of objects has their number at PATH.count and each at PATH.INDEX.
type flatSettings map[string]string

// number is 0 where the setting is none.

func (s flatSettings) number(path string) float64 {
	v, err := strconv.ParseFloat(s[path], 64)
	if err != nil {
		return 0
	}
	return v
}

// count is a whole number within bounds.
func (s flatSettings) count(path string) int { return min(max(int(s.number(path)), 0), maxCount) }

func (s flatSettings) isTrue(path string) bool { return s[path] == "true" }

// list is the items of a list of plain values.
func (s flatSettings) list(path string) []string {
	if s[path] == "" {
		return nil
	}
	return strings.Split(s[path], ",")
}

// item is one item of a list of plain values, "" where there is none.
func (s flatSettings) item(path string, i int) string {
	if l := s.list(path); i < len(l) {
		return l[i]
	}
	return ""
}

// numberItem is one item of a list of numbers, 0 where there is none.
func (s flatSettings) numberItem(path string, i int) float64 {
	v, err := strconv.ParseFloat(s.item(path, i), 64)
	if err != nil {
		return 0
	}
	return v
}

// indexes reads a list that binds a class to some of the names at another path: nil where it is not set. An item is an
// index or a name; unknown names are passed over.
func (s flatSettings) indexes(path, names string) []int {
	if _, set := s[path]; !set {
		return nil
	}
	found := []int{}
	for _, item := range s.list(path) {
		if n, err := strconv.Atoi(item); err == nil {
			found = append(found, n)
		} else if n := slices.Index(s.list(names), item); n >= 0 {
			found = append(found, n)
		}
	}
	return found
}

// flatten adds a nested value under a path.
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
	_, object := value.(map[string]any)
	return object
}

func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// EscapeName is a name as the simulator's text has it.
func EscapeName(s string) string { return nameEscapes.Replace(s) }

var nameEscapes = strings.NewReplacer(" ", "_", ",", "_")
