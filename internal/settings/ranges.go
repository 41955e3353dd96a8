package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// limits is the range of a setting. A missing end is no limit.
type limits struct {
	low, high string
}

// limitsOf reads the range tag of a field.
func limitsOf(field reflect.StructField) (limits, bool) {
	tag, ok := field.Tag.Lookup(tagRange)
	if !ok {
		return limits{}, false
	}
	low, high, _ := strings.Cut(tag, "..")
	return limits{low, high}, true
}

// String says the range in words.
func (l limits) String() string {
	switch {
	case l.high == "":
		return "at least " + l.low
	case l.low == "":
		return "at most " + l.high
	default:
		return "from " + l.low + " to " + l.high
	}
}

// holds tells whether a number or duration is within the limits.
func (l limits) holds(value reflect.Value) bool {
	n := number(value)
	if l.low != "" && n < parseLimit(l.low, value.Type()) {
		return false
	}
	return l.high == "" || n <= parseLimit(l.high, value.Type())
}

func number(value reflect.Value) float64 {
	switch {
	case value.CanFloat():
		return value.Float()
	case value.CanUint():
		return float64(value.Uint())
	default:
		return float64(value.Int())
	}
}

// parseLimit reads an end of a range. The tags are constants of the program, so
// one that can't be read is a programming error, which any test that loads
// settings shows.
func parseLimit(text string, shape reflect.Type) float64 {
	if shape == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(text)
		if err != nil {
			panic(err)
		}
		return float64(d)
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// outOfRange lists the settings below a path that are outside their ranges, or
// that have no default and are not set.
func outOfRange(path string, value reflect.Value) []problem {
	var problems []problem
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := field.Tag.Get(tagKey)
		if key == notAKey {
			continue
		}
		problems = append(problems, checkField(join(path, key), field, value.Field(i))...)
	}
	return problems
}

func checkField(path string, field reflect.StructField, value reflect.Value) []problem {
	switch {
	case value.Kind() == reflect.Struct:
		return outOfRange(path, value)
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		var problems []problem
		for i := range value.Len() {
			problems = append(problems, outOfRange(fmt.Sprintf("%s[%d]", path, i), value.Index(i))...)
		}
		return problems
	}
	if example, required := field.Tag.Lookup(tagExample); required && value.IsZero() {
		return []problem{{path, "is missing", fmt.Sprintf("set it, for example to %q", example)}}
	}
	if limits, limited := limitsOf(field); limited && !limits.holds(value) {
		return []problem{{path, fmt.Sprintf("is %v", value.Interface()), "set it " + limits.String()}}
	}
	return nil
}
