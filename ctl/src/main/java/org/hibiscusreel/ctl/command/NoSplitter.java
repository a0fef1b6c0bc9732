package org.hibiscusreel.ctl.command;

import com.beust.jcommander.converters.IParameterSplitter;
import java.util.List;

/** Keeps commas in the values of repeated options, which JCommander would split at. */
public final class NoSplitter implements IParameterSplitter {

  @Override
  public List<String> split(String value) {
    return List.of(value);
  }
}
