package file

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// maxLinks bounds the symbolic links that a path is followed through.
const maxLinks = 20

// resolveLinks follows a path through its symbolic links. It returns the links passed and the file itself, and the folders
// that hold them: a change of the file shows in one of those.
func resolveLinks(path string) (names, folders []string) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, nil
	}
	for range maxLinks {
		link, target, rest := firstLink(path)
		if link == "" { // path has no link: it is the file
			names, folders = append(names, path), append(folders, filepath.Dir(path))
			break
		}
		folder := filepath.Dir(link)
		names, folders = append(names, link), append(folders, folder)
		if !filepath.IsAbs(target) {
			target = filepath.Join(folder, target)
		}
		path = filepath.Join(target, rest)
	}
	slices.Sort(folders)
	return names, slices.Compact(folders)
}

// firstLink finds the first symbolic link on a path, where it leads, and the rest of the path behind it. link is "" where
// there is none.
func firstLink(path string) (link, target, rest string) {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	prefix := "/"
	for i, part := range parts {
		prefix = filepath.Join(prefix, part)
		if target, err := os.Readlink(prefix); err == nil {
			return prefix, target, filepath.Join(parts[i+1:]...)
		}
	}
	return "", "", ""
}
