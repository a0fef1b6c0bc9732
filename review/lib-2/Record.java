import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record implements AutoCloseable {

  /** Exit status of a script that saw the rule broken; 1 is that of a virtual machine that fails. */
  static final int BROKEN = 11;

  /** Creates a temporary folder that is deleted with its files at the end of the program. */
  static Path newFolder() throws IOException {
    Path folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folder)));
    return folder;
  }

  private static void delete(Path folder) {
    File[] files = folder.toFile().listFiles();
    for (File f : files == null ? new File[0] : files) {
      f.delete();
    }
    folder.toFile().delete();
  }

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String format, Object... arguments) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.println(
        String.format(Locale.ROOT, "%8.3f ", seconds)
            + String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public void close() {
    out.close();
  }
}
