package org.hibiscusreel.coordination.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hibiscusreel.core.config.ConfigurationError;

/** TOML document with the line numbers of its keys, for error messages with file, line and key. */
public final class TomlFile {

  private static final TomlMapper MAPPER = new TomlMapper();
  private static final TypeReference<LinkedHashMap<String, Object>> TREE = new TypeReference<>() {};

  private final String name;
  private final Map<String, Object> tree;
  private final TomlLines lines;

  private TomlFile(String name, Map<String, Object> tree, TomlLines lines) {
    this.name = name;
    this.tree = tree;
    this.lines = lines;
  }

  /** Outcome of parsing. */
  public sealed interface Result {

    /**
     * The text is valid TOML.
     *
     * @param file the document
     */
    record Parsed(TomlFile file) implements Result {}

    /**
     * The text is not valid TOML.
     *
     * @param message file, line and description of the error
     */
    record Malformed(String message) implements Result {}
  }

  /**
   * Parses a document.
   *
   * @param name file name for error messages
   * @param text TOML text, may be empty
   * @return the document or the error
   * @throws NullPointerException if an argument is null
   */
  public static Result parse(String name, String text) {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(text, "text");
    try {
      Map<String, Object> tree = MAPPER.readValue(text, TREE);
      return new Result.Parsed(new TomlFile(name, tree, TomlLines.index(text)));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      return new Result.Malformed(name + ":" + line + ": " + e.getOriginalMessage());
    }
  }

  /**
   * Returns the tree of tables and values.
   *
   * @return the tree, which callers must not modify
   */
  public Map<String, Object> tree() {
    return tree;
  }

  /**
   * Returns the name of the file.
   *
   * @return the name given to {@link #parse}
   */
  public String name() {
    return name;
  }

  /**
   * Returns whether the document itself defines a path.
   *
   * @param path dotted path as {@code ConfigurationTrees.child} builds it
   * @return true if a header or key of the document has this path
   */
  public boolean names(String path) {
    return lines.lineOf(path) > 0;
  }

  /**
   * Formats an error with the file, the line of the key or of the nearest enclosing table, and the
   * key.
   *
   * @param error the error
   * @return one line of text
   */
  public String describe(ConfigurationError error) {
    return name + ":" + Math.max(1, lines.nearestLineOf(error.path())) + ": " + error;
  }

  /**
   * Formats errors, each attributed to the last document that defines the key.
   *
   * @param errors the errors
   * @param files documents, base first
   * @return one line of text for each error
   */
  public static List<String> describe(List<ConfigurationError> errors, List<TomlFile> files) {
    return errors.stream().map(error -> owner(error, files).describe(error)).toList();
  }

  private static TomlFile owner(ConfigurationError error, List<TomlFile> files) {
    TomlFile owner = files.get(0);
    int depth = -1;
    for (TomlFile file : files) {
      int d = file.lines.nearestDepth(error.path());
      if (d >= depth) {
        owner = file;
        depth = d;
      }
    }
    return owner;
  }
}
