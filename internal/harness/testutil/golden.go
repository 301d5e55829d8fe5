package testutil

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// CheckGolden compares got with a golden file under testdata and returns the content of the file. Golden files pin formats that
// other builds read from disks and sockets, so UPDATE=1 only creates missing files and never overwrites one.
func CheckGolden(t testing.TB, name string, got []byte) (want []byte) {
	t.Helper()
	file := filepath.Join("testdata", name+".golden")
	if _, err := os.Stat(file); update && errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(hex.Dump(want), hex.Dump(got)); diff != "" {
		t.Errorf("got bytes that differ from %s (-want +got):\n%s", file, diff)
	}
	return want
}

// FillFields sets every exported field reachable from a pointer to a distinct value. The values depend on the order of the
// fields, not on their names, and are the same in every run. Slices get two items and maps one.
func FillFields(pointer any) {
	counter := uint64(0)
	fill(reflect.ValueOf(pointer).Elem(), &counter)
}

// fill sets v and everything below it. counter is the number of values visited so far, from which each value is derived.
func fill(v reflect.Value, counter *uint64) {
	*counter++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(*counter)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*counter) + 0.25)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", *counter))
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), counter)
			}
		}
	case reflect.Array:
		fillItems(v, counter)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillItems(v, counter)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, counter)
		fill(value, counter)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), counter)
	default:
		panic(fmt.Sprintf("testutil: FillFields does not support type %s", v.Type()))
	}
}

func fillItems(v reflect.Value, counter *uint64) {
	for i := range v.Len() {
		fill(v.Index(i), counter)
	}
}
