package vfs

// replacementPrefix begins the name of a file that is written to replace another one; List skips such names.
const replacementPrefix = ".new-"

// ReplaceFile atomically creates or replaces a file. After a crash at any moment the name refers to the complete old file or
// the complete new one, and to the new one if ReplaceFile has returned nil. After an error it may refer to either.
func ReplaceFile(dir Dir, name string, content []byte) error {
	replacement := replacementPrefix + name
	if err := dir.Remove(replacement); err != nil { // one that an earlier process left behind
		return err
	}
	if err := writeSynced(dir, replacement, content); err != nil {
		_ = dir.Remove(replacement) // if this fails, the next replacement removes it
		return err
	}
	if err := dir.Rename(replacement, name); err != nil {
		return err
	}
	return dir.Sync()
}

// writeSynced creates a file and syncs its content.
func writeSynced(dir Dir, name string, content []byte) error {
	file, err := dir.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
