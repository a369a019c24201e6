// Package wire defines the frames that the system's processes exchange and the
// documents that the platform stores. The types are generated from schema.json;
// the generated file is committed so that a build needs no generator.
package wire

//go:generate go tool go-jsonschema -p wire --only-models --tags json --struct-name-from-title --capitalization VM -o types.go schema.json
