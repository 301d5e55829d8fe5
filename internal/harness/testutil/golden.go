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

// CheckGolden compares bytes with those of a golden file under testdata, and returns the file's. CheckGolden files pin formats that
// other builds read from disks and sockets, so UPDATE=1 writes one only where it is missing and never over another.
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
		t.Errorf("bytes differ from %s (-golden +got):\n%s", file, diff)
	}
	return want
}

// FillFields sets every exported field that a pointer leads to, each to another value, by the order of the fields and not by
// their names: slices get two items, maps one. What it sets is the same in every run.
func FillFields(pointer any) {
	counter := uint64(0)
	fill(reflect.ValueOf(pointer).Elem(), &counter)
}

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
		panic(fmt.Sprintf("testutil: no value for a %s", v.Type()))
	}
}

func fillItems(v reflect.Value, counter *uint64) {
	for i := range v.Len() {
		fill(v.Index(i), counter)
	}
}
