package org.hibiscusreel.ctl.command;

import com.beust.jcommander.converters.IParameterSplitter;
import java.util.List;

/** Keeps the values of a repeated option whole; by default JCommander splits them at commas. */
public final class NoSplitter implements IParameterSplitter {

  @Override
  public List<String> split(String value) {
    return List.of(value);
  }
}
