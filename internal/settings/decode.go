package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/almondledge/almondledge/internal/errkind"
)

// invalid returns the error for a refused field. The problem completes the sentence "settings field PATH ...".
func invalid(path, problem, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("settings field %s %s", path, problem), remedy)
}

// missing returns the error for a required field that is not set.
func missing(path, remedy string) error {
	return invalid(path, "is missing", remedy)
}

// decode reads one JSON object into the struct that target points to. Unlike encoding/json it returns the full path of
// a refused field, matches names exactly, and refuses unknown fields and fields that occur twice.
func decode(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	var object json.RawMessage
	if err := decoder.Decode(&object); err != nil {
		return errkind.Wrap(err, errkind.Invalid, "settings are not JSON", "correct the syntax of the file")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errkind.New(errkind.Invalid, "settings have data after the JSON object", "keep one JSON object in the file")
	}
	return decodeValue("", object, reflect.ValueOf(target).Elem())
}

// decodeValue decodes the value at a path by the kind of its target.
func decodeValue(path string, raw json.RawMessage, target reflect.Value) error {
	if string(raw) == strconv.Quote(Placeholder) {
		return invalid(path, "is still the placeholder "+Placeholder+" of the example", keysRemedy)
	}
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return decodeLeaf(path, raw, target)
	}
	switch target.Kind() {
	case reflect.Struct:
		return decodeStruct(path, raw, target)
	case reflect.Slice:
		return decodeSlice(path, raw, target)
	default:
		return decodeLeaf(path, raw, target)
	}
}

// decodeLeaf decodes a value that is neither an object nor a list, or that has its own text form.
func decodeLeaf(path string, raw json.RawMessage, target reflect.Value) error {
	if string(raw) == "null" {
		return invalid(path, "is null", "leave the field out to get its default")
	}
	err := json.Unmarshal(raw, target.Addr().Interface())
	if err == nil {
		return nil
	}
	return invalid(path, "is refused: "+err.Error(), "give "+expectedForm(target.Type()))
}

// expectedForm describes the valid form of a value of type t.
func expectedForm(t reflect.Type) string {
	switch {
	case t.String() == "netip.AddrPort":
		return "an address as IP:port, such as 10.1.2.3:7000"
	case t == reflect.TypeFor[Secret]():
		return fmt.Sprintf("%d random bytes in base64; %s", SecretBytes, keysRemedy)
	case t.Kind() == reflect.String:
		return "a text in double quotes"
	default:
		return "a whole number"
	}
}

// decodeSlice decodes a JSON list.
func decodeSlice(path string, raw json.RawMessage, target reflect.Value) error {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil || items == nil {
		return invalid(path, "is not a list", "write a list in brackets")
	}
	slice := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		if err := decodeValue(fmt.Sprintf("%s[%d]", path, i), item, slice.Index(i)); err != nil {
			return err
		}
	}
	target.Set(slice)
	return nil
}

// decodeStruct decodes a JSON object.
func decodeStruct(path string, raw json.RawMessage, target reflect.Value) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return invalid(displayPath(path), "is not an object", "write an object in braces")
	}
	fields := fieldsByName(target)
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return invalid(displayPath(path), "is not JSON: "+err.Error(), "correct the syntax of the file")
		}
		name, _ := token.(string)
		full := strings.TrimPrefix(path+"."+name, ".")
		field, known := fields[name]
		if !known {
			return invalid(full, "is unknown", "remove it or correct its name")
		}
		if seen[name] {
			return invalid(full, "is given twice", "keep one of the two")
		}
		seen[name] = true
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return invalid(full, "is not JSON: "+err.Error(), "correct the syntax of the file")
		}
		if err := decodeValue(full, value, field); err != nil {
			return err
		}
	}
	return nil
}

// displayPath returns the path for an error, or "(whole file)" for the empty path
// of the top-level object.
func displayPath(path string) string {
	if path == "" {
		return "(whole file)"
	}
	return path
}

// fieldsByName returns the fields of a struct, and of the structs that it embeds, by their JSON names.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			for name, value := range fieldsByName(target.Field(i)) {
				fields[name] = value
			}
			continue
		}
		fields[field.Tag.Get("json")] = target.Field(i)
	}
	return fields
}
