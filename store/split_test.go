package store_test

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/store"
)

func TestSplitArray(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	tests := map[string]struct {
		doc  string
		want []string
	}{
		"none":                   {doc: " [ ] "},
		"one":                    {`[1]`, []string{`1`}},
		"all types":              {`[ {"a":[1]} , "x,]\"" ,null,true, -1.5e3 ]`, []string{`{"a":[1]}`, `"x,]\""`, `null`, `true`, `-1.5e3`}},
		"nested deep":            {`[1,` + deep + `,{"a":` + deep + `}]`, []string{`1`, deep, `{"a":` + deep + `}`}},
		"invalid element":        {`[{"a":tru,"b"},2]`, []string{`{"a":tru,"b"}`, `2`}},
		"number without bounds":  {`[1e400]`, []string{`1e400`}},
		"bytes that are no text": {"[\"\xff\\u0000\",2]", []string{"\"\xff\\u0000\"", `2`}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			list, err := store.SplitArray([]byte(tc.doc))
			require.NoError(t, err)
			var got []string
			for _, e := range list {
				got = append(got, string(e))
			}
			require.True(t, len(got) == len(tc.want))
			for i := range got {
				require.True(t, got[i] == tc.want[i], "element %d", i)
			}
		})
	}
}

func TestSplitObject(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 200_000) + "1" + strings.Repeat("}", 200_000)
	tests := map[string]struct {
		doc  string
		want map[string]string
	}{
		"none":                         {`{}`, map[string]string{}},
		"all types":                    {`{ "a" : 1 , "b":"}" ,"c":[{}],"d":null}`, map[string]string{"a": `1`, "b": `"}"`, "c": `[{}]`, "d": `null`}},
		"two of one name":              {`{"a":1,"a":2}`, map[string]string{"a": `2`}},
		"two of one name but for case": {`{"a":1,"A":2}`, map[string]string{"a": `1`, "A": `2`}},
		"escaped name":                 {`{"\u0061":1}`, map[string]string{"a": `1`}},
		"nested deep":                  {`{"a":` + deep + `,"b":2}`, map[string]string{"a": deep, "b": `2`}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := store.SplitObject([]byte(tc.doc))
			require.NoError(t, err)
			for name, value := range tc.want {
				require.True(t, string(got.Get(name)) == value, name)
			}
			require.Nil(t, got.Get("other"))
		})
	}
}

// Guards against a document that broke off, or that is none, taken for a whole one.
func TestInvalidDocuments(t *testing.T) {
	for _, doc := range []string{
		"", "null", "1", `"a"`, "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", "[1]x", "[{]}", `["a]`, `["a\"]`, "[[1]", "[:]", "[1:2]",
		"{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":1,}`, `{a:1}`, `{"a" 1}`, `{"a":1]`, `{"a":}`, `{"a":1}{`, `{"\x":1}`, `{"a":[1}}`,
	} {
		t.Run(doc, func(t *testing.T) {
			_, err := store.SplitArray([]byte(doc))
			require.Error(t, err)
			_, err = store.SplitObject([]byte(doc))
			require.Error(t, err)
		})
	}
}

// FuzzSplit checks that whatever encoding/json takes is split into the same values.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"\"]"}],"c":null}`))
	f.Add([]byte(` [ "x" , {} ] `))
	f.Add([]byte(`{"a":1,"a":[2`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		list, listErr := store.SplitArray(doc)
		members, membersErr := store.SplitObject(doc)
		var wantList []json.RawMessage
		if json.Unmarshal(doc, &wantList) == nil && wantList != nil {
			require.NoError(t, listErr)
			require.Len(t, list, len(wantList))
			for i := range list {
				require.JSONEq(t, string(wantList[i]), string(list[i]))
			}
		}
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(doc, &wantMembers) == nil && wantMembers != nil {
			require.NoError(t, membersErr)
			for name, value := range wantMembers {
				if utf8.ValidString(name) && utf8.Valid(doc) {
					require.JSONEq(t, string(value), string(members.Get(name)))
				}
			}
		}
	})
}

// Guards against a member that is missing, null or of another type and changes what it is decoded into.
func TestMembersDecode(t *testing.T) {
	o, err := store.SplitObject([]byte(`{"n":7,"s":"x","list":[1,[2]],"null":null,"deep":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`))
	require.NoError(t, err)
	n := 3
	require.NoError(t, o.Decode("missing", &n))
	require.NoError(t, o.Decode("null", &n))
	require.Equal(t, 3, n)
	require.NoError(t, o.Decode("n", &n))
	require.Equal(t, 7, n)
	require.ErrorContains(t, o.Decode("s", &n), "decode s")
	require.ErrorContains(t, o.Decode("deep", &n), "decode deep")

	list, err := o.Elements("list")
	require.NoError(t, err)
	require.Equal(t, []json.RawMessage{json.RawMessage("1"), json.RawMessage("[2]")}, list)
	for _, name := range []string{"missing", "null"} {
		list, err = o.Elements(name)
		require.NoError(t, err)
		require.Empty(t, list)
	}
	_, err = o.Elements("n")
	require.ErrorContains(t, err, "decode n")
}
