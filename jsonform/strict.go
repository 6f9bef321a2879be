// Package jsonform gives the core's types their JSON form: commands and
// results of the replicated log, messages between replicas, and the documents
// and settings that people write.
//
// The core's decisions never see this form, so another front end can give
// them another one. A variant of a sealed interface is written as an object
// with its kind and its body. What people write is read strictly: unknown
// fields and duplicate keys are errors, and the error names the field.
//
// # Usage
//
//	var d service.Document
//	if err := jsonform.DecodeStrict("booking.json", data, &d); err != nil {
//		return err
//	}
package jsonform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// SyntaxError says what is wrong with a JSON text.
type SyntaxError struct {
	// File is where the text came from.
	File string
	// Field is the JSON path of the offending field, as far as known.
	Field string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Problem)
	}
	return fmt.Sprintf("%s: field %s: %s", e.File, e.Field, e.Problem)
}

// DecodeStrict decodes one JSON object. Fields that the target lacks, keys
// that stand twice and text after the object are errors.
func DecodeStrict(file string, data []byte, target any) error {
	if err := checkKeys(file, data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return strictError(file, err)
	}
	return nil
}

func strictError(file string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		problem := fmt.Sprintf("value is a %s, allowed: %s", wrongType.Value, wrongType.Type)
		return &SyntaxError{File: file, Field: wrongType.Field, Problem: problem}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &SyntaxError{File: file, Field: strings.Trim(name, `"`), Problem: "unknown field"}
	}
	return &SyntaxError{File: file, Problem: err.Error()}
}

// maxDepth bounds the nesting of what people write.
const maxDepth = 32

// checkKeys looks for duplicate keys and for text after the value.
func checkKeys(file string, data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := checkValue(file, "", d, 0); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &SyntaxError{File: file, Problem: "text after the first value"}
	}
	return nil
}

func checkValue(file, path string, d *json.Decoder, depth int) error {
	if depth > maxDepth {
		return &SyntaxError{File: file, Field: path, Problem: "nested too deep"}
	}
	t, err := d.Token()
	if err != nil {
		return &SyntaxError{File: file, Field: path, Problem: err.Error()}
	}
	switch t {
	case json.Delim('{'):
		return checkObject(file, path, d, depth)
	case json.Delim('['):
		return checkArray(file, path, d, depth)
	}
	return nil
}

func checkObject(file, path string, d *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return &SyntaxError{File: file, Field: path, Problem: err.Error()}
		}
		key := fmt.Sprint(t)
		field := strings.TrimPrefix(path+"."+key, ".")
		// The decoder matches keys without regard to case.
		if folded := strings.ToLower(key); seen[folded] {
			return &SyntaxError{File: file, Field: field, Problem: "duplicate key"}
		}
		seen[strings.ToLower(key)] = true
		if err := checkValue(file, field, d, depth+1); err != nil {
			return err
		}
	}
	return closing(file, path, d)
}

func checkArray(file, path string, d *json.Decoder, depth int) error {
	for i := 0; d.More(); i++ {
		if err := checkValue(file, fmt.Sprintf("%s[%d]", path, i), d, depth+1); err != nil {
			return err
		}
	}
	return closing(file, path, d)
}

func closing(file, path string, d *json.Decoder) error {
	if _, err := d.Token(); err != nil {
		return &SyntaxError{File: file, Field: path, Problem: err.Error()}
	}
	return nil
}
