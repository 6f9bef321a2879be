// Package jsonform encodes the types of the core as JSON: commands and results of
// the replicated log, messages between replicas, and the documents and settings
// that are written by hand.
//
// The core does not depend on this encoding, so another front end can use a
// different one. A variant of a sealed interface is written as an object with its
// kind and its body. Files written by hand are decoded strictly: unknown fields
// and duplicate keys are errors, and the error names the field.
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

// SyntaxError describes an error in a JSON text.
type SyntaxError struct {
	// File is the name of the file, or another name for the source of the text.
	File string
	// Field is the JSON path of the invalid field, or empty if it is not known.
	Field string
	// Problem states what is wrong and, where it helps, what is allowed.
	Problem string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Problem)
	}
	return fmt.Sprintf("%s: field %s: %s", e.File, e.Field, e.Problem)
}

// DecodeStrict decodes one JSON value into target. It returns a [SyntaxError] for
// invalid JSON, a value of the wrong type, a field that target does not have, a
// duplicate key, text after the value and nesting that is too deep. The name of
// the file is used in errors only.
func DecodeStrict(file string, data []byte, target any) error {
	if err := checkSyntax(file, data); err != nil {
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

// maxDepth is the maximum nesting depth of objects and arrays.
const maxDepth = 32

// checkSyntax checks for duplicate keys, nesting that is too deep and text after
// the value.
func checkSyntax(file string, data []byte) error {
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

func checkValue(file, path string, decoder *json.Decoder, depth int) error {
	if depth > maxDepth {
		return &SyntaxError{File: file, Field: path, Problem: "nested too deep"}
	}
	token, err := decoder.Token()
	if err != nil {
		return &SyntaxError{File: file, Field: path, Problem: err.Error()}
	}
	switch token {
	case json.Delim('{'):
		return checkObject(file, path, decoder, depth)
	case json.Delim('['):
		return checkArray(file, path, decoder, depth)
	}
	return nil
}

func checkObject(file, path string, decoder *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return &SyntaxError{File: file, Field: path, Problem: err.Error()}
		}
		key := fmt.Sprint(token)
		field := strings.TrimPrefix(path+"."+key, ".")
		// The decoder matches keys case-insensitively, so keys that differ in
		// case only are duplicates.
		if folded := strings.ToLower(key); seen[folded] {
			return &SyntaxError{File: file, Field: field, Problem: "duplicate key"}
		}
		seen[strings.ToLower(key)] = true
		if err := checkValue(file, field, decoder, depth+1); err != nil {
			return err
		}
	}
	return readClosingDelimiter(file, path, decoder)
}

func checkArray(file, path string, decoder *json.Decoder, depth int) error {
	for i := 0; decoder.More(); i++ {
		if err := checkValue(file, fmt.Sprintf("%s[%d]", path, i), decoder, depth+1); err != nil {
			return err
		}
	}
	return readClosingDelimiter(file, path, decoder)
}

func readClosingDelimiter(file, path string, decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return &SyntaxError{File: file, Field: path, Problem: err.Error()}
	}
	return nil
}
