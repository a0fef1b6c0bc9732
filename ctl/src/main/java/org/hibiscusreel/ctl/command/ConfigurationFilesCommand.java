package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;

/** A command that reads a base configuration file and overlay files. */
public abstract class ConfigurationFilesCommand extends Command {

  @Parameter(names = "--base", description = "Base configuration file")
  private String base;

  @Parameter(
      names = "--overlay",
      splitter = NoSplitter.class,
      description = "SITE=FILE, overlay file of a site; may be repeated")
  private List<String> overlays = new ArrayList<>();

  /**
   * Returns whether a base file was given.
   *
   * @return true if it was
   */
  protected final boolean hasBase() {
    return base != null;
  }

  /**
   * Reads the base file and the overlay files.
   *
   * @param context reads the files
   * @return the configuration body
   * @throws CommandException if an option is invalid or a file can't be read
   */
  protected final ConfigurationBody readBody(CommandContext context) {
    if (base == null) {
      throw CommandException.usageError("--base FILE is required");
    }
    Map<String, String> texts = new TreeMap<>();
    overlayFiles().forEach((site, file) -> texts.put(site, context.readFile(file)));
    return new ConfigurationBody(context.readFile(base), texts);
  }

  /**
   * Compiles a body. Error messages refer to its files by name.
   *
   * @param body the configuration body of the files
   * @return the result of the compilation
   */
  protected final ConfigurationCompiler.Result compile(ConfigurationBody body) {
    Map<String, String> names = new HashMap<>(overlayFiles());
    names.put("base", base);
    return ConfigurationCompiler.compile(body, 1, names);
  }

  private Map<String, String> overlayFiles() {
    Map<String, String> files = new TreeMap<>();
    for (String overlay : overlays) {
      int separator = overlay.indexOf('=');
      if (separator <= 0 || separator == overlay.length() - 1) {
        throw CommandException.usageError("--overlay must be SITE=FILE but was " + overlay);
      }
      if (files.put(overlay.substring(0, separator), overlay.substring(separator + 1)) != null) {
        throw CommandException.usageError(
            "--overlay was given twice for the same site: " + overlay);
      }
    }
    return files;
  }
}
