package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// Format is how a file of records is written.
type Format string

// The formats. YAML is not read: its readers turn some plain words into booleans
// and numbers, and the settings are TOML already.
const (
	FormatJSON Format = "json"
	FormatTOML Format = "toml"
)

// MaxFileBytes bounds a file of records.
const MaxFileBytes = 64 << 20

// tomlRecords is the array of tables that holds several records in one TOML file.
const tomlRecords = "record"

// ErrFormat marks a file whose format can't be told.
var ErrFormat = eris.New("format can't be told: write records as JSON (.json) or TOML (.toml)")

// FormatOf tells the format of a file from its name, or, for a name without a
// known ending such as "-", from how its text begins.
func FormatOf(name string, data []byte) (Format, error) {
	switch strings.ToLower(filepath.Ext(name)) {
	case ".json":
		return FormatJSON, nil
	case ".toml":
		return FormatTOML, nil
	case ".yaml", ".yml":
		return "", eris.Wrapf(ErrFormat, "%s is YAML, which is not read", name)
	}
	text := strings.TrimSpace(string(data[:min(len(data), 4096)]))
	list := strings.TrimSpace(strings.TrimPrefix(text, "["))
	switch {
	case strings.HasPrefix(text, "{"), list != text && (strings.HasPrefix(list, "{") || strings.HasPrefix(list, "]")):
		return FormatJSON, nil
	case strings.HasPrefix(text, "---") || text == "":
		return "", eris.Wrap(ErrFormat, name)
	default:
		return FormatTOML, nil
	}
}

// ParseFile reads the records of a file. JSON holds one object, several one
// after the other, or an array; TOML holds one record at the top or several as
// [[record]] tables. Errors name the line.
func ParseFile(name string, data []byte) ([]Document, error) {
	if len(data) > MaxFileBytes {
		return nil, eris.Wrapf(ErrOversized, "%s has %d bytes, the limit for a file is %d", name, len(data), MaxFileBytes)
	}
	if !utf8.Valid(data) {
		return nil, eris.Wrapf(ErrMalformed, "%s is not UTF-8 text", name)
	}
	format, err := FormatOf(name, data)
	if err != nil {
		return nil, err
	}
	split := splitJSON
	if format == FormatTOML {
		split = splitTOML
	}
	values, err := split(data)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%s: %v", name, err)
	}
	return decodeAll(name, values)
}

func decodeAll(name string, values []json.RawMessage) ([]Document, error) {
	documents := make([]Document, 0, len(values))
	seen := make(map[string]bool, len(values))
	for i, value := range values {
		document, err := Decode(value)
		if err != nil {
			return nil, fmt.Errorf("%s: record %d: %w", name, i+1, err)
		}
		if seen[document.Key()] {
			return nil, eris.Wrapf(ErrMalformed, "%s: %s is there twice", name, document.Key())
		}
		seen[document.Key()] = true
		documents = append(documents, document)
	}
	return documents, nil
}

// splitJSON gives the objects of a JSON text.
func splitJSON(data []byte) ([]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var values []json.RawMessage
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return values, nil
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineOf(data, errorOffset(decoder, err)), err)
		}
		if err := checkDuplicates(value); err != nil {
			return nil, fmt.Errorf("before line %d: %w", lineOf(data, decoder.InputOffset()), err)
		}
		var list []json.RawMessage
		if json.Unmarshal(value, &list) == nil {
			values = append(values, list...)
			continue
		}
		values = append(values, value)
	}
}

func errorOffset(decoder *json.Decoder, err error) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	return decoder.InputOffset()
}

func lineOf(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// splitTOML gives the records of a TOML text as JSON.
func splitTOML(data []byte) ([]json.RawMessage, error) {
	var tree map[string]any
	if _, err := toml.Decode(string(data), &tree); err != nil {
		return nil, err
	}
	tables := []map[string]any{tree}
	if several, ok := tree[tomlRecords].([]map[string]any); ok {
		if len(tree) > 1 {
			return nil, fmt.Errorf("beside [[%s]] there are other keys: put each record into a [[%s]] of its own", tomlRecords, tomlRecords)
		}
		tables = several
	}
	values := make([]json.RawMessage, 0, len(tables))
	for _, table := range tables {
		value, err := json.Marshal(table)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// ErrDuplicateField marks a JSON object that has a field twice. Readers differ in
// which of the two they take, so that what an operator sees is not what runs.
var ErrDuplicateField = eris.New("a field is there twice: remove one")

// checkDuplicates looks for objects with two fields of one name.
func checkDuplicates(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return checkValue(decoder)
}

func checkValue(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder)
	case json.Delim('['):
		for decoder.More() {
			if err := checkValue(decoder); err != nil {
				return err
			}
		}
		_, err = decoder.Token()
	}
	return err
}

func checkObject(decoder *json.Decoder) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if seen[name] {
			return eris.Wrapf(ErrDuplicateField, "%q", name)
		}
		seen[name] = true
		if err := checkValue(decoder); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}
