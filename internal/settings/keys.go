package settings

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"oleandershunt.example/oleandershunt/internal/spelling"
)

// The tags of a setting's field, besides the key.
const (
	tagKey = "toml"
	// tagUnit names what the value counts or is.
	tagUnit = "unit"
	// tagRange is LOW..HIGH, in the value's own form; either may be left out.
	tagRange = "range"
	// tagExample is a value for a setting that has no default.
	tagExample = "example"
)

// notAKey is the tag of a field that the file does not set.
const notAKey = "-"

// problem is one thing that is wrong with a settings file.
type problem struct {
	// key is the path of the key, as in "probe.interval".
	key string
	// what is wrong, and the remedy.
	what, remedy string
}

func (p problem) String() string { return fmt.Sprintf("%s %s: %s", p.key, p.what, p.remedy) }

// decoder fills settings key by key, so that all problems are found at once.
type decoder struct {
	meta     toml.MetaData
	problems []problem
}

// decode fills the settings with a file's text. The error is that of a text
// which isn't TOML; nothing more can be said of it.
func decode(text string, into *Settings) ([]problem, error) {
	var sections map[string]toml.Primitive
	meta, err := toml.Decode(text, &sections)
	if err != nil {
		return nil, err
	}
	d := &decoder{meta: meta}
	d.table("", sections, reflect.ValueOf(into).Elem())
	d.undecoded()
	return d.problems, nil
}

// table fills the fields of a struct from a table of the file.
func (d *decoder) table(path string, values map[string]toml.Primitive, into reflect.Value) {
	fields := fieldsByKey(into.Type())
	for _, key := range slices.Sorted(maps.Keys(values)) {
		index, known := fields[key]
		if !known {
			d.unknown(path, key)
			continue
		}
		d.value(join(path, key), values[key], into.Field(index))
	}
}

func (d *decoder) value(path string, value toml.Primitive, into reflect.Value) {
	if into.Kind() == reflect.Struct {
		var table map[string]toml.Primitive
		// The library leaves the map nil, without an error, where there is no table.
		if d.meta.PrimitiveDecode(value, &table) != nil || table == nil {
			d.add(path, "is not a table", fmt.Sprintf("write [%s] on a line of its own, and its keys below", path))
			return
		}
		d.table(path, table, into)
		return
	}
	fresh := reflect.New(into.Type())
	if err := d.meta.PrimitiveDecode(value, fresh.Interface()); err != nil {
		d.add(path, "has a value of the wrong type", "write "+form(into))
		return
	}
	into.Set(fresh.Elem())
}

// form describes how a value of the field is written, by its default.
func form(field reflect.Value) string {
	switch {
	case field.Type() == reflect.TypeFor[time.Duration]():
		return `a duration in quotes, such as "` + shortDuration(field.Interface().(time.Duration)) + `"`
	case field.Kind() == reflect.String:
		return `text in quotes`
	case field.Kind() == reflect.Bool:
		return "true or false"
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
		return "each entry as a table [[...]]"
	case field.Kind() == reflect.Slice:
		return `a list, such as ["10.0.0.1:8082"]`
	default:
		return fmt.Sprintf("a number, such as %v", field.Interface())
	}
}

// undecoded reports the unknown keys in lists of tables, which are decoded whole.
func (d *decoder) undecoded() {
	for _, key := range d.meta.Undecoded() {
		path := slices.Clone(key)
		section, known := lookUp(path[:len(path)-1])
		if !known || section.Kind() != reflect.Slice {
			continue
		}
		d.unknown(strings.Join(path[:len(path)-1], "."), path[len(path)-1])
	}
}

// lookUp finds the type of the value under a path.
func lookUp(path []string) (reflect.Type, bool) {
	current := reflect.TypeFor[Settings]()
	for _, key := range path {
		if current.Kind() != reflect.Struct {
			return nil, false
		}
		index, known := fieldsByKey(current)[key]
		if !known {
			return nil, false
		}
		current = current.Field(index).Type
	}
	return current, true
}

// unknown reports a key that no setting has, with the one that may be meant: of
// the same table, else the same name in another table.
func (d *decoder) unknown(path, key string) {
	full := join(path, key)
	all := keysUnder("", reflect.TypeFor[Settings]())
	var siblings []string
	for _, known := range all {
		if parent, _ := split(known); parent == path {
			siblings = append(siblings, known)
		}
	}
	near := spelling.Nearest(full, siblings)
	if near == "" {
		near = elsewhere(key, all)
	}
	if near == "" {
		near = spelling.Nearest(full, all)
	}
	remedy := "remove it; docs/SETTINGS.md lists all keys"
	if near != "" {
		remedy = fmt.Sprintf("write %s if that is meant, or remove it", near)
	}
	d.add(full, "is not known", remedy)
}

// elsewhere finds a key of the same name in another table.
func elsewhere(key string, all []string) string {
	for _, known := range all {
		if _, name := split(known); name == key {
			return known
		}
	}
	return ""
}

func (d *decoder) add(key, what, remedy string) {
	d.problems = append(d.problems, problem{key: key, what: what, remedy: remedy})
}

// keysUnder lists the paths of all tables and keys of a struct.
func keysUnder(path string, shape reflect.Type) []string {
	var keys []string
	for i := range shape.NumField() {
		field := shape.Field(i)
		key := field.Tag.Get(tagKey)
		if key == notAKey {
			continue
		}
		keys = append(keys, join(path, key))
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, keysUnder(join(path, key), inner)...)
		}
	}
	return keys
}

// fieldsByKey finds the fields of a struct by their keys.
func fieldsByKey(shape reflect.Type) map[string]int {
	fields := make(map[string]int, shape.NumField())
	for i := range shape.NumField() {
		if key := shape.Field(i).Tag.Get(tagKey); key != notAKey {
			fields[key] = i
		}
	}
	return fields
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func split(path string) (parent, key string) {
	at := strings.LastIndexByte(path, '.')
	return path[:max(at, 0)], path[at+1:]
}

// shortDuration writes a duration without its units that are 0: 10m, not 10m0s.
func shortDuration(d time.Duration) string {
	text := cmp.Or(d.String(), "0s")
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
