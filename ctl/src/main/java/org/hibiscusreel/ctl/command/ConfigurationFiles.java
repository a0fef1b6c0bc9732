package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;

/** A command whose input is a base file and overlay files. */
public abstract class ConfigurationFiles extends Command {

  @Parameter(names = "--base", description = "File of the base configuration")
  private String base;

  @Parameter(
      names = "--overlay",
      splitter = NoSplitter.class,
      description = "SITE=FILE, the overlay of a site; may be repeated")
  private List<String> overlays = new ArrayList<>();

  /**
   * Tells whether a base file was given.
   *
   * @return true if it was
   */
  protected final boolean hasBase() {
    return base != null;
  }

  /**
   * Reads the files.
   *
   * @param session reads the files
   * @return the body
   * @throws CommandFailure if an option or a file is not usable
   */
  protected final ConfigurationBody body(Session session) {
    if (base == null) {
      throw CommandFailure.usage("give --base FILE");
    }
    Map<String, String> texts = new TreeMap<>();
    overlayFiles().forEach((site, file) -> texts.put(site, session.readFile(file)));
    return new ConfigurationBody(session.readFile(base), texts);
  }

  /**
   * Compiles a body and names its files in messages.
   *
   * @param body body of the files
   * @return the outcome
   */
  protected final ConfigurationCompiler.Result compile(ConfigurationBody body) {
    Map<String, String> names = new HashMap<>(overlayFiles());
    names.put("base", base);
    return ConfigurationCompiler.compile(body, 1, names);
  }

  private Map<String, String> overlayFiles() {
    Map<String, String> files = new TreeMap<>();
    for (String overlay : overlays) {
      int equals = overlay.indexOf('=');
      if (equals <= 0 || equals == overlay.length() - 1) {
        throw CommandFailure.usage("--overlay must be SITE=FILE but is " + overlay);
      }
      if (files.put(overlay.substring(0, equals), overlay.substring(equals + 1)) != null) {
        throw CommandFailure.usage("--overlay names a site twice: " + overlay);
      }
    }
    return files;
  }
}
