package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"oleandershunt.example/oleandershunt/api"
)

// maxFileBytes bounds what is read from one file or from standard input.
const maxFileBytes = 64 << 20

// The kinds of error of reading records.
var (
	// ErrUnreadable: a file is not made of records.
	ErrUnreadable = eris.New("file can't be read as records: write JSON, YAML or TOML with kind, schemaVersion, name and spec")
	// ErrNoRecords: nothing was found.
	ErrNoRecords = eris.New("no records found: name a .json, .yaml, .yml or .toml file, a folder of them, or - for standard input")
	// ErrNoFile: a path that was named can't be opened.
	ErrNoFile = eris.New("file or folder can't be read: check the path and its permissions")
	// ErrTwice: a record stands twice in what was read.
	ErrTwice = eris.New("record is given twice: keep one of them")
)

// recordSuffixes are the names by which files in a folder are taken for records.
var recordSuffixes = []string{".json", ".yaml", ".yml", ".toml"}

// Load reads records from files, from folders and, for "-", from stdin.
func Load(paths []string, stdin io.Reader) ([]api.Document, error) {
	var documents []api.Document
	for _, path := range paths {
		found, err := loadPath(path, stdin)
		if err != nil {
			return nil, err
		}
		documents = append(documents, found...)
	}
	if len(documents) == 0 {
		return nil, ErrNoRecords
	}
	seen := make(map[string]bool, len(documents))
	for _, document := range documents {
		if seen[document.Key()] {
			return nil, eris.Wrap(ErrTwice, document.Key())
		}
		seen[document.Key()] = true
	}
	return documents, nil
}

func loadPath(path string, stdin io.Reader) ([]api.Document, error) {
	if path == "-" {
		return readAll("standard input", "", stdin)
	}
	var documents []api.Document
	err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoFile, err)
		}
		if entry.IsDir() {
			return nil
		}
		if file != path && !slices.Contains(recordSuffixes, filepath.Ext(file)) {
			return nil
		}
		found, err := loadFile(file)
		documents = append(documents, found...)
		return err
	})
	return documents, err
}

func loadFile(path string) ([]api.Document, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoFile, err)
	}
	defer file.Close()
	return readAll(path, filepath.Ext(path), file)
}

func readAll(name, suffix string, in io.Reader) ([]api.Document, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("%s: %w: it is larger than %d bytes", name, ErrUnreadable, maxFileBytes)
	}
	documents, err := Parse(data, suffix)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", name, ErrUnreadable, err)
	}
	return documents, nil
}

// Parse reads records from text. The suffix ".toml" selects TOML; anything else
// is YAML, of which JSON is a part. Several records stand in a list, or as
// several documents after one another.
func Parse(data []byte, suffix string) ([]api.Document, error) {
	if suffix == ".toml" {
		value := make(map[string]any)
		if _, err := toml.Decode(string(data), &value); err != nil {
			return nil, err
		}
		return decodeValue(value)
	}
	if start := bytes.TrimSpace(data); len(start) > 0 && (start[0] == '{' || start[0] == '[') {
		return parseJSON(data)
	}
	return parseYAML(data)
}

// parseJSON keeps numbers as they are written.
func parseJSON(data []byte) ([]api.Document, error) {
	var documents []api.Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, err
		}
		found, err := decodeJSON(raw)
		if err != nil {
			return nil, err
		}
		documents = append(documents, found...)
	}
}

func parseYAML(data []byte) ([]api.Document, error) {
	var documents []api.Document
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var value any
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, err
		}
		if value == nil {
			continue
		}
		found, err := decodeValue(value)
		if err != nil {
			return nil, err
		}
		documents = append(documents, found...)
	}
}

func decodeValue(value any) ([]api.Document, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return decodeJSON(data)
}

// decodeJSON reads one record or a list of them.
func decodeJSON(data json.RawMessage) ([]api.Document, error) {
	if !strings.HasPrefix(string(bytes.TrimSpace(data)), "[") {
		document, err := api.Decode(data)
		return []api.Document{document}, err
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, err
	}
	var documents []api.Document
	for i, item := range items {
		document, err := api.Decode(item)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i+1, err)
		}
		documents = append(documents, document)
	}
	return documents, nil
}
